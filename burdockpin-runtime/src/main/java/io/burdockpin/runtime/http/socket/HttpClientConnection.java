package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.io.Tcp;
import org.apache.pekko.io.TcpMessage;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.util.ByteString;

/**
 * Actor that owns one client connection, with one request in flight at a time, and stops
 * when the connection closes. It is a classic actor, because typed actors do not learn
 * which actor owns the socket. It uses the socket directly: a leader opens hundreds of
 * connections when it is elected, and a client stream of Pekko HTTP takes several times
 * the processor time of a socket.
 */
final class HttpClientConnection extends AbstractActor {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

	private final long number;

	private final InetSocketAddress server;

	private final ActorRef<Event> owner;

	private final HttpResponseReader reader = new HttpResponseReader();

	/** The actor that owns the socket, once it is connected. */
	private Optional<org.apache.pekko.actor.ActorRef> socket = Optional.empty();

	/** The request to send once the connection is open. */
	private Optional<Send> pendingSend = Optional.empty();

	private HttpClientConnection(long number, InetSocketAddress server, ActorRef<Event> owner) {
		this.number = number;
		this.server = server;
		this.owner = owner;
	}

	/**
	 * Creates the props of an actor that opens a connection.
	 * @param number identifies the connection to its owner
	 * @param server the address of the server
	 * @param owner receives the events of the connection
	 * @return the props
	 */
	static Props props(long number, InetSocketAddress server, ActorRef<Event> owner) {
		return Props.create(HttpClientConnection.class, () -> new HttpClientConnection(number, server, owner));
	}

	@Override
	public void preStart() {
		Tcp.get(getContext().getSystem())
			.manager()
			.tell(TcpMessage.connect(this.server, null, List.of(TcpSO.tcpNoDelay(true)), CONNECT_TIMEOUT, false),
					getSelf());
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(Send.class, this::onSend)
			.match(Tcp.Received.class, this::onReceived)
			.match(Tcp.Connected.class, (connected) -> onConnected())
			.match(Tcp.CommandFailed.class, this::onCommandFailed)
			.match(Tcp.ConnectionClosed.class, this::onClosed)
			.build();
	}

	private void onSend(Send send) {
		if (this.socket.isPresent()) {
			write(send);
		}
		else {
			this.pendingSend = Optional.of(send);
		}
	}

	private void onConnected() {
		this.socket = Optional.of(getSender());
		getSender().tell(TcpMessage.register(getSelf()), getSelf());
		this.pendingSend.ifPresent(this::write);
		this.pendingSend = Optional.empty();
	}

	// Checked as late as possible, since the process may have been paused while the
	// connection was opened.
	private void write(Send send) {
		if (send.condition().filter((condition) -> !condition.maySend()).isPresent()) {
			this.owner.tell(new Event.NotSent(this.number));
			return;
		}
		this.socket.get().tell(TcpMessage.write(send.bytes()), getSelf());
	}

	private void onReceived(Tcp.Received received) {
		try {
			this.reader.add(received.data());
			this.reader.next().ifPresent((answer) -> this.owner.tell(new Event.ResponseReceived(this.number, answer)));
		}
		catch (IOException ex) {
			stop(ex.getMessage(), false);
		}
	}

	private void onCommandFailed(Tcp.CommandFailed failed) {
		Throwable cause = failed.cause().isDefined() ? failed.cause().get() : null;
		stop((cause != null) ? String.valueOf(cause.getMessage()) : "connect timed out",
				cause instanceof ConnectException);
	}

	private void onClosed(Tcp.ConnectionClosed closed) {
		try {
			this.reader.endOfInput()
				.ifPresent((answer) -> this.owner.tell(new Event.ResponseReceived(this.number, answer)));
		}
		catch (IOException ex) {
			stop(ex.getMessage(), false);
			return;
		}
		stop(closed.isErrorClosed() ? closed.getErrorCause() : "closed", false);
	}

	// Pekko closes the socket when the actor registered for it stops.
	private void stop(String reason, boolean refused) {
		this.owner.tell(new Event.Closed(this.number, reason, refused));
		getContext().stop(getSelf());
	}

	/**
	 * Sends a request.
	 *
	 * @param bytes the encoded request
	 * @param condition checked immediately before the write; empty if there is no
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
