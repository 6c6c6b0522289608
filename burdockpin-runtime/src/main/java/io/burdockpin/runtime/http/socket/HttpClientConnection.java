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
 * Owns one connection that carries one request at a time, and ends with it. An actor of
 * the classic kind, since only those learn which actor owns the socket. It speaks to the
 * socket directly: a leader opens hundreds of connections when it is elected, and a
 * client stream of the HTTP library takes several times the processor time of a socket.
 */
final class HttpClientConnection extends AbstractActor {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

	private final long number;

	private final InetSocketAddress server;

	private final ActorRef<Event> owner;

	private final HttpResponseReader reader = new HttpResponseReader();

	/** The actor that owns the socket, once it is connected. */
	private Optional<org.apache.pekko.actor.ActorRef> socket = Optional.empty();

	/** The request that waits for the connection. */
	private Optional<Send> waiting = Optional.empty();

	private HttpClientConnection(long number, InetSocketAddress server, ActorRef<Event> owner) {
		this.number = number;
		this.server = server;
		this.owner = owner;
	}

	/**
	 * Describes an actor that opens a connection.
	 * @param number tells the connections of an owner apart
	 * @param server the address of the server
	 * @param owner is told what happens to the connection
	 * @return the properties of the actor
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
			this.waiting = Optional.of(send);
		}
	}

	private void onConnected() {
		this.socket = Optional.of(getSender());
		getSender().tell(TcpMessage.register(getSelf()), getSelf());
		this.waiting.ifPresent(this::write);
		this.waiting = Optional.empty();
	}

	// The last place before the socket: a process may have been stopped while the
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
			end(ex.getMessage(), false);
		}
	}

	private void onCommandFailed(Tcp.CommandFailed failed) {
		Throwable cause = failed.cause().isDefined() ? failed.cause().get() : null;
		end((cause != null) ? String.valueOf(cause.getMessage()) : "the connection timed out",
				cause instanceof ConnectException);
	}

	private void onClosed(Tcp.ConnectionClosed closed) {
		try {
			this.reader.endOfInput()
				.ifPresent((answer) -> this.owner.tell(new Event.ResponseReceived(this.number, answer)));
		}
		catch (IOException ex) {
			end(ex.getMessage(), false);
			return;
		}
		end(closed.isErrorClosed() ? closed.getErrorCause() : "closed", false);
	}

	// The socket is closed with the actor that is registered for it.
	private void end(String reason, boolean refused) {
		this.owner.tell(new Event.Closed(this.number, reason, refused));
		getContext().stop(getSelf());
	}

	/**
	 * Sends a request.
	 *
	 * @param bytes the request
	 * @param condition whether it may still be sent, if that is limited
	 */
	record Send(ByteString bytes, Optional<SendCondition> condition) {

	}

	/** What happens to a connection. */
	sealed interface Event {

		/**
		 * Returns which connection of its owner it is.
		 * @return the number that the owner gave
		 */
		long connection();

		/**
		 * A response is complete.
		 *
		 * @param connection the number of the connection
		 * @param response the response
		 */
		record ResponseReceived(long connection, HttpClientResponse response) implements Event {

		}

		/**
		 * The request was not sent, since it was too late.
		 *
		 * @param connection the number of the connection
		 */
		record NotSent(long connection) implements Event {

		}

		/**
		 * The connection has ended.
		 *
		 * @param connection the number of the connection
		 * @param reason why
		 * @param refused whether the server refused it, so that no request has reached it
		 */
		record Closed(long connection, String reason, boolean refused) implements Event {

		}

	}

}
