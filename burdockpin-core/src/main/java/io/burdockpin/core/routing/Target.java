package io.burdockpin.core.routing;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.RunnerName;

/** The target that an attempt is sent to. */
public sealed interface Target {

	/**
	 * A runner attached to this entry host.
	 *
	 * @param runner name of the runner
	 */
	record LocalRunner(RunnerName runner) implements Target {

	}

	/**
	 * Another entry host.
	 *
	 * @param host name of the entry host
	 */
	record Peer(HostName host) implements Target {

	}

}
