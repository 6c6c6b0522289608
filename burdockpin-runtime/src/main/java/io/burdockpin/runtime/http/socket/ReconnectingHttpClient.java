package io.burdockpin.runtime.http.socket;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * HTTP client that owns one connection to a server and reopens it with the next request
 * after it has closed. Each request gets one outcome within its timeout.
 */
public final class ReconnectingHttpClient extends AbstractBehavior<ReconnectingHttpClient.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final TimerScheduler<Command> timers;

	private final SocketTask sockets;

	private final InetSocketAddress server;

	private final ActorRef<HttpClientConnection.Event> connectionEvents;

	private Optional<org.apache.pekko.actor.ActorRef> connection = Optional.empty();

	private Optional<Request> pendingRequest = Optional.empty();

	/** Number of the current connection; events of earlier connections are ignored. */
	private long connectionNumber;

	private ReconnectingHttpClient(ActorContext<Command> context, TimerScheduler<Command> timers, SocketTask sockets,
			InetSocketAddress server) {
		super(context);
		this.timers = timers;
		this.sockets = sockets;
		this.server = server;
		this.connectionEvents = context.messageAdapter(HttpClientConnection.Event.class, WrappedConnectionEvent::new);
	}

	/**
	 * Creates the behavior.
	 * @param sockets owns the connection
	 * @param server the address of the server
	 * @return the behavior
	 */
	public static Behavior<Command> create(SocketTask sockets, InetSocketAddress server) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new ReconnectingHttpClient(context, timers, sockets, server)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Request.class, this::onRequest)
			.onMessage(WrappedConnectionEvent.class, this::onConnectionEvent)
			.onMessageEquals(RequestTimeout.INSTANCE, this::onRequestTimeout)
			.build();
	}

	private Behavior<Command> onRequest(Request request) {
		// One request may be in flight; a new one abandons the previous one.
		finish(Outcome.None.UNKNOWN);
		this.pendingRequest = Optional.of(request);
		this.timers.startSingleTimer(RequestTimeout.INSTANCE, request.timeout());
		if (this.connection.isEmpty() && !request.connection().mayBeOpened()) {
			finish(Outcome.None.NO_CONNECTION);
			return this;
		}
		if (this.connection.isEmpty()) {
			this.connection = Optional.of(connect());
		}
		this.connection.get()
			.tell(new HttpClientConnection.Send(HttpMessageWriter.write(request.call(), this.server),
					request.condition()), org.apache.pekko.actor.ActorRef.noSender());
		return this;
	}

	private Behavior<Command> onConnectionEvent(WrappedConnectionEvent command) {
		if (command.event().connection() != this.connectionNumber) {
			return this;
		}
		if (command.event() instanceof HttpClientConnection.Event.ResponseReceived received) {
			if (received.response().closesConnection()) {
				disconnect();
			}
			finish(new Outcome.Response(received.response().status(), received.response().body(),
					received.response().closesConnection()));
		}
		else if (command.event() instanceof HttpClientConnection.Event.Closed closed) {
			onConnectionClosed(closed);
		}
		else {
			finish(Outcome.None.NOT_SENT);
		}
		return this;
	}

	private void onConnectionClosed(HttpClientConnection.Event.Closed closed) {
		this.connection = Optional.empty();
		if (this.pendingRequest.isPresent()) {
			logger.atInfo()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("The connection to %s ended with a request open: %s.", this.server, closed.reason());
		}
		finish(closed.refused() ? Outcome.None.CONNECTION_REFUSED : Outcome.None.UNKNOWN);
	}

	private Behavior<Command> onRequestTimeout() {
		disconnect();
		finish(Outcome.None.UNKNOWN);
		return this;
	}

	private void finish(Outcome outcome) {
		this.pendingRequest.ifPresent((request) -> {
			this.pendingRequest = Optional.empty();
			this.timers.cancel(RequestTimeout.INSTANCE);
			request.replyTo().tell(outcome);
		});
	}

	private org.apache.pekko.actor.ActorRef connect() {
		this.connectionNumber++;
		return Adapter.actorOf(getContext(),
				HttpClientConnection.props(this.connectionNumber, this.sockets, this.server, this.connectionEvents));
	}

	private void disconnect() {
		this.connection.ifPresent((child) -> Adapter.stop(getContext(), child));
		this.connection = Optional.empty();
		this.connectionNumber++;
	}

	/** Connection that a request may use. */
	public enum ConnectionUse {

		/** The open connection, or a new one. */
		ANY {

			@Override
			boolean mayBeOpened() {
				return true;
			}

		},

		/**
		 * Only the open connection. The request reaches the process that answered the
		 * previous one, or none.
		 */
		SAME {

			@Override
			boolean mayBeOpened() {
				return false;
			}

		};

		abstract boolean mayBeOpened();

	}

	/** Messages of the client; all but {@link Request} are internal. */
	public sealed interface Command {

	}

	/**
	 * Sends a request.
	 *
	 * @param call the request to send
	 * @param timeout limit for connecting and for the complete response
	 * @param connection whether a connection may be opened for the request
	 * @param condition checked immediately before each write; empty if there is no
	 * condition
	 * @param replyTo receives the outcome
	 */
	public record Request(HttpClientRequest call, Duration timeout, ConnectionUse connection,
			Optional<SendCondition> condition, ActorRef<Outcome> replyTo) implements Command {

	}

	private record WrappedConnectionEvent(HttpClientConnection.Event event) implements Command {

	}

	private enum RequestTimeout implements Command {

		INSTANCE

	}

	/** The outcome of a request. */
	public sealed interface Outcome {

		/**
		 * A complete response.
		 *
		 * @param status the status code
		 * @param body the body
		 * @param closesConnection whether the next request needs another connection
		 */
		record Response(int status, byte[] body, boolean closesConnection) implements Outcome {

		}

		/** No complete response was received. */
		enum None implements Outcome {

			/** The server refused the connection, so it did not receive the request. */
			CONNECTION_REFUSED,

			/** The request was not sent because its {@link SendCondition} forbade it. */
			NOT_SENT,

			/**
			 * The request was not sent because the connection of the previous one has
			 * closed.
			 */
			NO_CONNECTION,

			/** The server may or may not have handled the request. */
			UNKNOWN

		}

	}

}
