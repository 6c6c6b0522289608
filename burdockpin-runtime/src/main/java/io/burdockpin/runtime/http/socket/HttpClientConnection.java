package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import io.burdockpin.runtime.socket.OutgoingSocket;
import io.burdockpin.runtime.socket.SocketEvent;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.util.ByteString;

/**
 * Actor that owns one client connection, with one request in flight at a time, and stops
 * when the connection closes. It uses the socket directly: a leader opens hundreds of
 * connections when it is elected, and a client stream of Pekko HTTP takes several times
 * the processor time of a socket.
 */
final class HttpClientConnection extends AbstractActor {

	private final long number;

	private final SocketTask sockets;

	private final InetSocketAddress server;

	private final ActorRef<Event> owner;

	private final HttpResponseReader reader = new HttpResponseReader();

	/** Empty if the system had no file descriptor for it. */
	private Optional<OutgoingSocket> socket = Optional.empty();

	private boolean connected;

	/** The request to send once the connection is open. */
	private Optional<Send> pendingSend = Optional.empty();

	private HttpClientConnection(long number, SocketTask sockets, InetSocketAddress server, ActorRef<Event> owner) {
		this.number = number;
		this.sockets = sockets;
		this.server = server;
		this.owner = owner;
	}

	/**
	 * Creates the props of an actor that opens a connection.
	 * @param number identifies the connection to its owner
	 * @param sockets owns the socket
	 * @param server the address of the server
	 * @param owner receives the events of the connection
	 * @return the props
	 */
	static Props props(long number, SocketTask sockets, InetSocketAddress server, ActorRef<Event> owner) {
		return Props.create(HttpClientConnection.class, () -> new HttpClientConnection(number, sockets, server, owner));
	}

	@Override
	public void preStart() {
		try {
			OutgoingSocket opened = this.sockets.connect(this.server);
			this.socket = Optional.of(opened);
			org.apache.pekko.actor.ActorRef self = getSelf();
			opened.open((event) -> self.tell(event, org.apache.pekko.actor.ActorRef.noSender()));
		}
		catch (IOException ex) {
			stop(ex.getMessage(), false);
		}
	}

	// Resets a connection that is still open, so that nothing of a request that was given
	// up is delivered later.
	@Override
	public void postStop() {
		this.socket.ifPresent(OutgoingSocket::abort);
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(Send.class, this::onSend)
			.match(SocketEvent.Received.class, this::onReceived)
			.matchEquals(SocketEvent.Connected.INSTANCE, (event) -> onConnected())
			.matchEquals(SocketEvent.NotWritten.INSTANCE, (event) -> this.owner.tell(new Event.NotSent(this.number)))
			.matchEquals(SocketEvent.PeerClosed.INSTANCE, (event) -> onPeerClosed())
			.match(SocketEvent.ConnectFailed.class, (failed) -> stop(failed.reason(), failed.refused()))
			.match(SocketEvent.Closed.class, (closed) -> stop(closed.reason(), false))
			.build();
	}

	private void onSend(Send send) {
		if (this.connected) {
			write(send);
		}
		else {
			this.pendingSend = Optional.of(send);
		}
	}

	private void onConnected() {
		this.connected = true;
		this.pendingSend.ifPresent(this::write);
		this.pendingSend = Optional.empty();
	}

	// The task that owns the socket looks at the condition, since the process may be
	// paused before it writes.
	private void write(Send send) {
		send.condition()
			.ifPresentOrElse((condition) -> this.socket.get().write(send.bytes(), condition::maySend),
					() -> this.socket.get().write(send.bytes()));
	}

	private void onReceived(SocketEvent.Received received) {
		try {
			this.reader.add(received.bytes());
			this.reader.next().ifPresent((answer) -> this.owner.tell(new Event.ResponseReceived(this.number, answer)));
		}
		catch (IOException ex) {
			stop(ex.getMessage(), false);
		}
	}

	private void onPeerClosed() {
		try {
			this.reader.endOfInput()
				.ifPresent((answer) -> this.owner.tell(new Event.ResponseReceived(this.number, answer)));
			stop("closed", false);
		}
		catch (IOException ex) {
			stop(ex.getMessage(), false);
		}
	}

	private void stop(String reason, boolean refused) {
		this.owner.tell(new Event.Closed(this.number, reason, refused));
		getContext().stop(getSelf());
	}

	/**
	 * Sends a request.
	 *
	 * @param bytes the encoded request
	 * @param condition checked immediately before each write; empty if there is no
	 * condition
	 */
	record Send(ByteString bytes, Optional<SendCondition> condition) {

	}

	/** Events of a connection, sent to its owner. */
	sealed interface Event {

		/**
		 * Returns the number that identifies the connection to its owner.
		 * @return the number that the owner passed to {@link #props}
		 */
		long connection();

		/**
		 * A response was received completely.
		 *
		 * @param connection the number of the connection
		 * @param response the response
		 */
		record ResponseReceived(long connection, HttpClientResponse response) implements Event {

		}

		/**
		 * The request was not sent because its {@link SendCondition} forbade it.
		 *
		 * @param connection the number of the connection
		 */
		record NotSent(long connection) implements Event {

		}

		/**
		 * The connection was closed or could not be opened.
		 *
		 * @param connection the number of the connection
		 * @param reason the cause, for logs
		 * @param refused whether the server refused the connection, so that no request
		 * has reached it
		 */
		record Closed(long connection, String reason, boolean refused) implements Event {

		}

	}

}
