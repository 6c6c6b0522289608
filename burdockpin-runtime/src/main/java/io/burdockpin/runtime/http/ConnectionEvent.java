package io.burdockpin.runtime.http;

/** What a {@link ServerConnectionStage} tells the owner of its listener. */
public sealed interface ConnectionEvent {

	/**
	 * A caller has connected.
	 *
	 * @param connection the connection
	 */
	record Opened(ConnectionHandle connection) implements ConnectionEvent {

	}

	/**
	 * A connection has ended and nothing is left to send on it.
	 *
	 * @param connection the connection
	 */
	record Closed(ConnectionHandle connection) implements ConnectionEvent {

	}

}
