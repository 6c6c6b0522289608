package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.socket.AcceptedSocket;
import io.burdockpin.runtime.socket.SocketEvent;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.ReceiveTimeout;

/**
 * Actor that owns one accepted connection, handles its requests sequentially and stops
 * when the connection closes. A client that only closes its sending side still gets the
 * response.
 */
final class HttpServerConnection extends AbstractActor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Longer than any request takes. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int BAD_REQUEST = 400;

	private static final int INTERNAL_ERROR = 500;

	private final AcceptedSocket socket;

	private final Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler;

	private final HttpRequestReader reader;

	/** Whether the handler is processing a request. */
	private boolean awaitingResponse;

	/** Whether the connection closes after the current response. */
	private boolean closing;

	/** Whether {@code 100 Continue} was sent for the current request. */
	private boolean continueSent;

	private HttpServerConnection(AcceptedSocket socket, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		this.socket = socket;
		this.handler = handler;
		this.reader = new HttpRequestReader(maximumBodyBytes);
	}

	/**
	 * Creates the props of an actor that serves a connection.
	 * @param socket the connection, which is not open yet
	 * @param maximumBodyBytes largest accepted request body
	 * @param handler handles a request; must not throw
	 * @return the props
	 */
	static Props props(AcceptedSocket socket, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		return Props.create(HttpServerConnection.class,
				() -> new HttpServerConnection(socket, maximumBodyBytes, handler));
	}

	@Override
	public void preStart() {
		getContext().setReceiveTimeout(IDLE_TIMEOUT);
		ActorRef self = getSelf();
		this.socket.open((event) -> self.tell(event, ActorRef.noSender()));
	}

	// Closes the connection of an actor that failed; a closed one stays as it is.
	@Override
	public void postStop() {
		this.socket.abort();
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(SocketEvent.Received.class, this::onReceived)
			.match(Respond.class, this::onRespond)
			.matchEquals(CloseAfterResponse.INSTANCE, (end) -> onCloseAfterResponse())
			.matchEquals(SocketEvent.PeerClosed.INSTANCE, (event) -> onPeerClosed())
			.match(SocketEvent.Closed.class, (event) -> getContext().stop(getSelf()))
			.match(ReceiveTimeout.class, (timeout) -> this.socket.close())
			.build();
	}

	private void onReceived(SocketEvent.Received received) {
		try {
			this.reader.add(received.bytes(), received.receivedNanos());
			handleNext();
		}
		catch (IOException ex) {
			reject(ex);
		}
	}

	private void handleNext() throws IOException {
		if (this.awaitingResponse) {
			return;
		}
		Optional<HttpServerRequest> request = this.reader.next();
		request.ifPresent(this::handle);
		if (request.isEmpty()) {
			sendContinueIfExpected();
		}
	}

	private void sendContinueIfExpected() {
		boolean expectsContinue = this.reader.incompleteMessageHead()
			.map((head) -> head.getFirstHeader(HttpHeaders.EXPECT))
			.isPresent();
		if (expectsContinue && !this.continueSent) {
			this.continueSent = true;
			this.socket.write(HttpMessageWriter.CONTINUE);
		}
	}

	private void handle(HttpServerRequest request) {
		this.awaitingResponse = true;
		this.continueSent = false;
		this.closing |= request.closesConnection();
		ActorRef self = getSelf();
		this.handler.apply(request)
			.exceptionally(HttpServerConnection::internalError)
			.thenAccept((response) -> self.tell(new Respond(response), self));
	}

	private void onRespond(Respond respond) {
		this.awaitingResponse = false;
		write(respond.response());
		if (!this.closing) {
			try {
				handleNext();
			}
			catch (IOException ex) {
				reject(ex);
			}
		}
	}

	private void write(HttpServerResponse response) {
		this.socket.write(HttpMessageWriter.write(response, this.closing));
		if (this.closing) {
			this.socket.close();
		}
	}

	// A request that was partly received is still handled.
	private void onCloseAfterResponse() {
		this.closing = true;
		if (!this.awaitingResponse && !this.reader.hasPartialMessage()) {
			this.socket.close();
		}
	}

	private void onPeerClosed() {
		this.closing = true;
		if (!this.awaitingResponse) {
			this.socket.close();
		}
	}

	private void reject(IOException reason) {
		logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("Rejected a request: %s.", reason.getMessage());
		if (this.awaitingResponse) {
			this.socket.abort();
			return;
		}
		this.closing = true;
		write(error(BAD_REQUEST, "malformed request"));
	}

	private static HttpServerResponse internalError(Throwable failure) {
		logger.atWarning().withCause(failure).log("A request handler failed.");
		return error(INTERNAL_ERROR, "internal error");
	}

	private static HttpServerResponse error(int status, String text) {
		return HttpServerResponse.json(status, "{\"error\":\"%s\"}".formatted(text).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * The handler has produced the response to the current request.
	 *
	 * @param response the response
	 */
	private record Respond(HttpServerResponse response) {

	}

	/**
	 * Closes the connection after the response to the current request, if there is one.
	 */
	enum CloseAfterResponse {

		INSTANCE

	}

}
