package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.burdockpin.runtime.socket.AcceptedSocket;
import io.burdockpin.runtime.socket.ListeningSocket;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.SupervisorStrategy;
import org.apache.pekko.actor.Terminated;

/**
 * Actor that uses a listening socket and supervises the actors of the accepted
 * connections.
 */
public final class HttpListener extends AbstractActor {

	private final SocketTask sockets;

	private final InetSocketAddress address;

	private final ClientLimits limits;

	private final Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler;

	private final org.apache.pekko.actor.typed.ActorRef<Event> owner;

	/** Present while this listener accepts connections. */
	private Optional<ListeningSocket> socket = Optional.empty();

	private int connectionCount;

	private boolean shuttingDown;

	private HttpListener(SocketTask sockets, InetSocketAddress address, ClientLimits limits,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler,
			org.apache.pekko.actor.typed.ActorRef<Event> owner) {
		this.sockets = sockets;
		this.address = address;
		this.limits = limits;
		this.handler = handler;
		this.owner = owner;
	}

	/**
	 * Creates the props of a listener.
	 * @param sockets owns the sockets; may listen on the address already
	 * @param address the address to listen on
	 * @param limits the limits of the clients
	 * @param handler handles a request; must not throw
	 * @param owner receives the events of the listener
	 * @return the props
	 */
	public static Props props(SocketTask sockets, InetSocketAddress address, ClientLimits limits,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler,
			org.apache.pekko.actor.typed.ActorRef<Event> owner) {
		return Props.create(HttpListener.class, () -> new HttpListener(sockets, address, limits, handler, owner));
	}

	// Closes a connection whose handler throws, so that its client does not wait.
	@Override
	public SupervisorStrategy supervisorStrategy() {
		return SupervisorStrategy.stoppingStrategy();
	}

	@Override
	public void preStart() {
		ActorRef self = getSelf();
		try {
			ListeningSocket listening = this.sockets.listen(this.address, this.limits.receiving());
			this.socket = Optional.of(listening);
			listening.accept((accepted) -> self.tell(new Accepted(accepted), ActorRef.noSender()));
			this.owner.tell(new Event.Bound(listening.address()));
		}
		catch (IOException ex) {
			this.owner.tell(new Event.BindFailed(this.address, String.valueOf(ex.getMessage())));
		}
	}

	@Override
	public void postStop() {
		this.socket.ifPresent(ListeningSocket::close);
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(Accepted.class, this::onAccepted)
			.match(Terminated.class, (terminated) -> onConnectionTerminated())
			.matchEquals(Shutdown.INSTANCE, (end) -> onShutdown())
			.build();
	}

	private void onAccepted(Accepted accepted) {
		if (this.shuttingDown) {
			accepted.connection().abort();
			return;
		}
		this.connectionCount++;
		getContext().watch(getContext()
			.actorOf(HttpServerConnection.props(accepted.connection(), this.limits.messages(), this.handler)));
	}

	private void onConnectionTerminated() {
		this.connectionCount--;
		if (this.shuttingDown) {
			reportIfClosed();
		}
	}

	private void onShutdown() {
		this.shuttingDown = true;
		this.socket.ifPresent(ListeningSocket::close);
		this.socket = Optional.empty();
		getContext().getChildren()
			.forEach((child) -> child.tell(HttpServerConnection.CloseAfterResponse.INSTANCE, getSelf()));
		reportIfClosed();
	}

	private void reportIfClosed() {
		if (this.connectionCount == 0) {
			this.owner.tell(new Event.Closed(this.address));
		}
	}

	/**
	 * The socket has accepted a connection.
	 *
	 * @param connection the connection
	 */
	private record Accepted(AcceptedSocket connection) {

	}

	/**
	 * Stops accepting connections and closes the open ones after their current response.
	 */
	public enum Shutdown {

		/** The only instance. */
		INSTANCE

	}

	/** Events of a listener, sent to its owner. */
	public sealed interface Event {

		/**
		 * The listener accepts connections.
		 *
		 * @param address the bound address
		 */
		record Bound(InetSocketAddress address) implements Event {

		}

		/**
		 * The address could not be bound.
		 *
		 * @param address the address
		 * @param reason the cause, for logs
		 */
		record BindFailed(InetSocketAddress address, String reason) implements Event {

		}

		/**
		 * The listener was shut down and no connection is left. Sent at least once.
		 *
		 * @param address the address that was requested
		 */
		record Closed(InetSocketAddress address) implements Event {

		}

	}

}
