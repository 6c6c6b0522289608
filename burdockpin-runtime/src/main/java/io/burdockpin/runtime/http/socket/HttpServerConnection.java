package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.pekko.actor.AbstractActor;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.ReceiveTimeout;
import org.apache.pekko.io.Tcp;
import org.apache.pekko.io.TcpMessage;

/**
 * Owns one connection that was accepted, answers its requests one after the other, and
 * ends with it. A client that only closes its sending side still gets the answer.
 */
final class HttpServerConnection extends AbstractActor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Longer than any call that is answered. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int BAD_REQUEST = 400;

	private static final int INTERNAL_ERROR = 500;

	private final ActorRef socket;

	private final Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler;

	private final HttpRequestReader reader;

	/** Whether a request is being answered. */
	private boolean awaitingResponse;

	/** Whether no request is answered after this one. */
	private boolean closing;

	/** Whether the client was asked for the body that it holds back. */
	private boolean continueSent;

	private HttpServerConnection(ActorRef socket, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		this.socket = socket;
		this.handler = handler;
		this.reader = new HttpRequestReader(maximumBodyBytes);
	}

	/**
	 * Describes an actor that serves a connection.
	 * @param socket the actor that owns the socket
	 * @param maximumBodyBytes how long the body of a request may be
	 * @param handler answers a request; it does not throw
	 * @return the properties of the actor
	 */
	static Props props(ActorRef socket, int maximumBodyBytes,
			Function<HttpServerRequest, CompletionStage<HttpServerResponse>> handler) {
		return Props.create(HttpServerConnection.class,
				() -> new HttpServerConnection(socket, maximumBodyBytes, handler));
	}

	@Override
	public void preStart() {
		getContext().setReceiveTimeout(IDLE_TIMEOUT);
		this.socket.tell(TcpMessage.register(getSelf(), true, false), getSelf());
	}

	@Override
	public Receive createReceive() {
		return receiveBuilder().match(Tcp.Received.class, this::onReceived)
			.match(Respond.class, this::onRespond)
			.matchEquals(CloseAfterResponse.INSTANCE, (end) -> onCloseAfterResponse())
			.match(Tcp.ConnectionClosed.class, this::onClosed)
			.match(Tcp.CommandFailed.class, this::onWriteFailed)
			.match(ReceiveTimeout.class, (timeout) -> this.socket.tell(TcpMessage.close(), getSelf()))
			.build();
	}

	private void onReceived(Tcp.Received received) {
		try {
			this.reader.add(received.data());
			answerNext();
		}
		catch (IOException ex) {
			refuse(ex);
		}
	}

	private void answerNext() throws IOException {
		if (this.awaitingResponse) {
			return;
		}
		Optional<HttpServerRequest> request = this.reader.next();
		request.ifPresent(this::answer);
		if (request.isEmpty()) {
			sendContinueIfExpected();
		}
	}

	private void sendContinueIfExpected() {
		boolean isHeldBack = this.reader.incompleteMessageHead()
			.map((head) -> head.getFirstHeader(HttpHeaders.EXPECT))
			.isPresent();
		if (isHeldBack && !this.continueSent) {
			this.continueSent = true;
			this.socket.tell(TcpMessage.write(HttpMessageWriter.CONTINUE), getSelf());
		}
	}

	private void answer(HttpServerRequest request) {
		this.awaitingResponse = true;
		this.continueSent = false;
		this.closing |= request.closesConnection();
		ActorRef self = getSelf();
		this.handler.apply(request)
			.exceptionally(HttpServerConnection::failed)
			.thenAccept((response) -> self.tell(new Respond(response), self));
	}

	private void onRespond(Respond respond) {
		this.awaitingResponse = false;
		write(respond.response());
		if (!this.closing) {
			try {
				answerNext();
			}
			catch (IOException ex) {
				refuse(ex);
			}
		}
	}

	private void write(HttpServerResponse response) {
		this.socket.tell(TcpMessage.write(HttpMessageWriter.write(response, this.closing)), getSelf());
		if (this.closing) {
			this.socket.tell(TcpMessage.close(), getSelf());
		}
	}

	// A request that has begun to arrive is still answered.
	private void onCloseAfterResponse() {
		this.closing = true;
		if (!this.awaitingResponse && !this.reader.hasPartialMessage()) {
			this.socket.tell(TcpMessage.close(), getSelf());
		}
	}

	private void onClosed(Tcp.ConnectionClosed closed) {
		if (!closed.isPeerClosed()) {
			getContext().stop(getSelf());
			return;
		}
		this.closing = true;
		if (!this.awaitingResponse) {
			this.socket.tell(TcpMessage.close(), getSelf());
		}
	}

	private void refuse(IOException reason) {
		logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("Refused a request: %s.", reason.getMessage());
		if (this.awaitingResponse) {
			this.socket.tell(TcpMessage.abort(), getSelf());
			return;
		}
		this.closing = true;
		write(error(BAD_REQUEST, "malformed request"));
	}

	// A client that does not read fills the buffers of the system.
	private void onWriteFailed(Tcp.CommandFailed failed) {
		logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("A response cannot be sent: %s.", failed);
		getContext().stop(getSelf());
	}

	private static HttpServerResponse failed(Throwable failure) {
		logger.atWarning().withCause(failure).log("A request failed.");
		return error(INTERNAL_ERROR, "internal error");
	}

	private static HttpServerResponse error(int status, String text) {
		return HttpServerResponse.json(status, "{\"error\":\"%s\"}".formatted(text).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * A request is answered.
	 *
	 * @param response the response
	 */
	private record Respond(HttpServerResponse response) {

	}

	/** Asks a connection to end after the answer under way. */
	enum CloseAfterResponse {

		INSTANCE

	}

}
