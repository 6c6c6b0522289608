package io.burdockpin.runtime.http.socket;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.SupervisorStrategy;
import org.apache.pekko.actor.Terminated;
import org.apache.pekko.io.Tcp;
import org.apache.pekko.io.TcpMessage;

/**
 * Actor that owns a listening socket and supervises the accepted connections. It is a
 * classic actor, because typed actors do not learn which actor owns a socket.
 */
public final class HttpListener extends AbstractActor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** All clients may reconnect at the same time after an outage. */
	private static final int BACKLOG = 512;

	private static final int MAXIMUM_CONNECTIONS = 3_000;

	private final InetSocketAddress address;

	private final int maximumBodyBytes;

	private final Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler;

	private final org.apache.pekko.actor.typed.ActorRef<Event> owner;

	/** The actor that owns the listening socket. */
	private Optional<ActorRef> socket = Optional.empty();

	private int connectionCount;

	private boolean shuttingDown;

	private HttpListener(InetSocketAddress address, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler,
			org.apache.pekko.actor.typed.ActorRef<Event> owner) {
		this.address = address;
		this.maximumBodyBytes = maximumBodyBytes;
		this.handler = handler;
		this.owner = owner;
	}

	/**
	 * Creates the props of a listener.
	 * @param address the address to bind
	 * @param maximumBodyBytes largest accepted request body
	 * @param handler handles a request; must not throw
	 * @param owner receives the events of the listener
	 * @return the props
	 */
	public static Props props(InetSocketAddress address, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler,
			org.apache.pekko.actor.typed.ActorRef<Event> owner) {
		return Props.create(HttpListener.class, () -> new HttpListener(address, maximumBodyBytes, handler, owner));
	}

	// Closes a connection whose handler throws, so that its client does not wait.
	@Override
	public SupervisorStrategy supervisorStrategy() {
		return SupervisorStrategy.stoppingStrategy();
	}

	@Override
	public void preStart() {
		Tcp.get(getContext().getSystem()).manager().tell(TcpMessage.bind(getSelf(), this.address, BACKLOG), getSelf());
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(Tcp.Connected.class, (connected) -> onConnected())
			.match(Terminated.class, (terminated) -> onConnectionTerminated())
			.match(Tcp.Bound.class, this::onBound)
			.match(Tcp.CommandFailed.class, this::onCommandFailed)
			.matchEquals(Shutdown.INSTANCE, (end) -> onShutdown())
			.match(Tcp.Unbound.class, (unbound) -> reportIfClosed())
			.build();
	}

	private void onBound(Tcp.Bound bound) {
		this.socket = Optional.of(getSender());
		this.owner.tell(new Event.Bound(bound.localAddress()));
	}

	private void onCommandFailed(Tcp.CommandFailed failed) {
		String reason = failed.cause().isDefined() ? String.valueOf(failed.cause().get().getMessage()) : "no reason";
		this.owner.tell(new Event.BindFailed(this.address, reason));
	}

	private void onConnected() {
		if (this.shuttingDown || this.connectionCount >= MAXIMUM_CONNECTIONS) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("Rejected a connection on %s: %d connections are open.", this.address, this.connectionCount);
			getSender().tell(TcpMessage.abort(), getSelf());
			return;
		}
		this.connectionCount++;
		getContext()
			.watch(getContext().actorOf(HttpServerConnection.props(getSender(), this.maximumBodyBytes, this.handler)));
	}

	private void onConnectionTerminated() {
		this.connectionCount--;
		if (this.shuttingDown) {
			reportIfClosed();
		}
	}

	private void onShutdown() {
		this.shuttingDown = true;
		this.socket.ifPresent((listening) -> listening.tell(TcpMessage.unbind(), getSelf()));
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
