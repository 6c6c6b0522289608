package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.socket.AcceptedSocket;
import io.burdockpin.runtime.socket.RejectionCause;
import io.burdockpin.runtime.socket.SocketEvent;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Props;

/**
 * Actor that owns one accepted connection, handles its requests sequentially and stops
 * when the connection closes. A client that only closes its sending side still gets the
 * response.
 */
final class HttpServerConnection extends AbstractActor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Fewer bytes are released with the next response, which needs no further message.
	 */
	private static final int MINIMUM_RELEASED_BYTES = 8 * 1_024;

	/** A client that was rejected for the load of others may repeat its request then. */
	private static final String RETRY_AFTER_SECONDS = "1";

	private static final int INTERNAL_ERROR = 500;

	private final AcceptedSocket socket;

	private final Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler;

	private final HttpRequestReader reader;

	/** Whether the handler is processing a request. */
	private boolean awaitingResponse;

	/** Whether the connection has closed. */
	private boolean closed;

	/** Whether the connection closes after the current response. */
	private boolean closing;

	/** Whether a request was rejected, so that later bytes are dropped. */
	private boolean rejected;

	/** Whether the socket knows that the head of the current request was received. */
	private boolean headReported;

	/** Received bytes that are charged to the listener. */
	private long heldBytes;

	/** The part of the charged bytes that the current request keeps. */
	private long handledBytes;

	/** Whether {@code 100 Continue} was sent for the current request. */
	private boolean continueSent;

	private HttpServerConnection(AcceptedSocket socket, MessageLimits limits,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		this.socket = socket;
		this.handler = handler;
		this.reader = new HttpRequestReader(limits);
	}

	/**
	 * Creates the props of an actor that serves a connection.
	 * @param socket the connection, which is not open yet
	 * @param limits the limits of a request
	 * @param handler handles a request; must not throw
	 * @return the props
	 */
	static Props props(AcceptedSocket socket, MessageLimits limits,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		return Props.create(HttpServerConnection.class, () -> new HttpServerConnection(socket, limits, handler));
	}

	@Override
	public void preStart() {
		ActorRef self = getSelf();
		this.socket.open((event) -> self.tell(event, ActorRef.noSender()));
	}

	// Closes the connection of an actor that failed; a closed one stays as it is. What is
	// charged for the connection is credited in both cases.
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
			.match(SocketEvent.Dropped.class, this::onDropped)
			.match(SocketEvent.Closed.class, (event) -> onClosed())
			.build();
	}

	private void onReceived(SocketEvent.Received received) {
		this.heldBytes += received.heldBytes();
		if (!this.rejected) {
			try {
				this.reader.add(received.bytes(), received.receivedNanos());
				handleNext();
			}
			catch (IOException ex) {
				reject(ex);
			}
		}
		releaseBytes(MINIMUM_RELEASED_BYTES);
	}

	private void releaseBytes(int minimumBytes) {
		long released = takeReleasedBytes();
		if (released >= minimumBytes) {
			this.socket.release(released);
		}
		else {
			this.heldBytes += released;
		}
	}

	// Charged bytes that neither the reader nor the current request keeps
	private long takeReleasedBytes() {
		long released = Math.max(0, this.heldBytes - this.reader.retainedBytes() - this.handledBytes);
		this.heldBytes -= released;
		return released;
	}

	private void handleNext() throws IOException {
		if (this.awaitingResponse) {
			return;
		}
		Optional<HttpServerRequest> request = this.reader.next();
		request.ifPresent(this::handle);
		if (request.isEmpty() && this.reader.incompleteMessageHead().isPresent()) {
			reportHead();
			sendContinueIfExpected();
		}
	}

	private void reportHead() {
		if (!this.headReported) {
			this.headReported = true;
			this.socket.onHeadReceived();
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
		this.headReported = false;
		this.handledBytes = Math.max(0, this.heldBytes - this.reader.retainedBytes());
		this.socket.onRequestReceived();
		this.closing |= request.closesConnection();
		ActorRef self = getSelf();
		this.handler.apply(request)
			.exceptionally(HttpServerConnection::internalError)
			.thenAccept((response) -> self.tell(new Respond(response), self));
	}

	private void onRespond(Respond respond) {
		this.awaitingResponse = false;
		this.handledBytes = 0;
		if (this.closed) {
			getContext().stop(getSelf());
			return;
		}
		this.socket.respond(HttpMessageWriter.write(respond.response(), this.closing), takeReleasedBytes());
		if (this.closing) {
			this.socket.close();
			return;
		}
		try {
			handleNext();
		}
		catch (IOException ex) {
			reject(ex);
		}
	}

	// The handler keeps the request until it responds, and so the bytes stay charged.
	private void onClosed() {
		this.closed = true;
		this.reader.discard();
		if (this.awaitingResponse) {
			releaseBytes(1);
		}
		else {
			getContext().stop(getSelf());
		}
	}

	private void onDropped(SocketEvent.Dropped dropped) {
		if (dropped.cause() == RejectionCause.HANDLING_TIME) {
			getContext().stop(getSelf());
		}
		else if (this.awaitingResponse || !this.reader.hasPartialMessage()) {
			this.closing = true;
			if (!this.awaitingResponse) {
				this.socket.close();
			}
		}
		else {
			reject(dropped.cause());
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
		reject((reason instanceof HttpMessageException failure) ? failure.rejectionCause() : RejectionCause.MALFORMED);
	}

	private void reject(RejectionCause cause) {
		this.closing = true;
		this.rejected = true;
		this.reader.discard();
		// Otherwise the response to the current request is the last one.
		if (!this.awaitingResponse) {
			rejectNow(cause);
		}
	}

	private void rejectNow(RejectionCause cause) {
		this.socket.reject(HttpMessageWriter.write(rejection(cause), true), takeReleasedBytes(), cause);
	}

	private static HttpServerResponse rejection(RejectionCause cause) {
		return switch (cause) {
			case HEAD_TIME, BODY_RATE, IDLE_TIME -> error(408, "the request was not received in time");
			case HEAD_BYTES -> error(431, "the header section is too long");
			case BODY_BYTES, CHUNK_OVERHEAD -> error(413, "the body is too long");
			case EMPTY_LINES, MALFORMED -> error(400, "malformed request");
			case BYTES_HELD, CONNECTIONS, DESCRIPTORS, HANDLING_TIME ->
				error(503, "too many requests are being received").withHeader(HttpHeaders.RETRY_AFTER,
						RETRY_AFTER_SECONDS);
		};
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
