package io.burdockpin.runtime.http;

/**
 * Connection events that {@link ServerConnectionStage} sends to the owner of the
 * listener.
 */
public sealed interface ConnectionEvent {

	/**
	 * A caller has connected.
	 *
	 * @param connection the connection
	 */
	record Opened(ConnectionHandle connection) implements ConnectionEvent {

	}

	/**
	 * A connection has ended; nothing more is sent on it.
	 *
	 * @param connection the connection
	 */
	record Closed(ConnectionHandle connection) implements ConnectionEvent {

	}

}
