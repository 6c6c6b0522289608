package io.burdockpin.runtime.service;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;

/** Configuration of the actor system that all programs share. */
public final class ActorConfiguration {

	/**
	 * Pekko's shutdown hook is off, because it would stop all actors at once on SIGTERM
	 * while requests are in flight. A request may take 60 s, but the default timeouts of
	 * the HTTP server are 20 s and 60 s. The client must not retry by itself, because
	 * each attempt uses one connection. Few threads keep the resident memory small; on a
	 * host with one core, a second thread would only make heartbeats wait for their turn.
	 * The scheduler wakes up at every tick even if no timer is due, and no timer needs a
	 * resolution below 20 ms.
	 */
	private static final String SHARED = """
			pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
			pekko.scheduler.tick-duration = 20ms
			pekko.http.server.request-timeout = 75s
			pekko.http.server.idle-timeout = 90s
			pekko.http.server.server-header = ""
			pekko.http.client.idle-timeout = 90s
			pekko.http.host-connection-pool.max-retries = 0
			pekko.actor.default-dispatcher.fork-join-executor.parallelism-min = 1
			pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 4
			pekko.actor.internal-dispatcher.fork-join-executor.parallelism-min = 1
			pekko.actor.internal-dispatcher.fork-join-executor.parallelism-max = 2
			""";

	private ActorConfiguration() {
	}

	/**
	 * Loads the configuration.
	 * @return the shared values, with the configuration on the class path as fallback
	 */
	public static Config load() {
		return ConfigFactory.parseString(SHARED).withFallback(ConfigFactory.load()).resolve();
	}

}
