package io.burdockpin.core.routing;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.RunnerName;

/** What an attempt is sent to. */
public sealed interface Target {

	/**
	 * An attached runner.
	 *
	 * @param runner the runner
	 */
	record LocalRunner(RunnerName runner) implements Target {

	}

	/**
	 * Another entry host.
	 *
	 * @param host the entry host
	 */
	record Peer(HostName host) implements Target {

	}

}
