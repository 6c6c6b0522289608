package io.burdockpin.runtime.service;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;

/** Configuration of the actor system that all programs share. */
public final class ActorConfiguration {

	/**
	 * The shutdown hook of Pekko would stop all actors at once on SIGTERM, while requests
	 * are in flight. A request may take 60 s, the default time-outs of the HTTP server
	 * are 20 s and 60 s. One attempt uses one connection, so the client never sends a
	 * request again by itself. Few threads keep the resident memory small; on a host with
	 * one core a second one would only let heartbeats wait for its turn. The scheduler
	 * wakes up at every tick also when no timer is due; no timer needs less than 20 ms.
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
	 * @return the shared values in front of what is on the class path
	 */
	public static Config load() {
		return ConfigFactory.parseString(SHARED).withFallback(ConfigFactory.load()).resolve();
	}

}
