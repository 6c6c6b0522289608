package io.burdockpin.runtime.http;

/** What a {@link ServerConnection} tells the owner of its listener. */
public sealed interface ConnectionEvent {

	/**
	 * A caller has connected.
	 *
	 * @param connection the connection
	 */
	record Opened(OpenConnection connection) implements ConnectionEvent {

	}

	/**
	 * A connection has ended and nothing is left to send on it.
	 *
	 * @param connection the connection
	 */
	record Ended(OpenConnection connection) implements ConnectionEvent {

	}

}
