package io.burdockpin.runtime.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.AttributeKey;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.japi.function.Procedure;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;

/**
 * Serves the requests of one caller's connection one after the other and tells the
 * request in flight when the caller closes its side. The stage is immutable; the state of
 * each connection belongs to its stream.
 * <p>
 * The HTTP library ends a connection on its own stop by aborting it as soon as the answer
 * has been passed on, which loses what is not sent yet. So this stage ends it: it
 * completes its answers and stays until the library says that the connection is closed.
 */
public final class ServerConnectionStage extends GraphStage<FlowShape<HttpRequest, HttpResponse>> {

	/** Attribute of each request: tells when its caller has disconnected. */
	public static final AttributeKey<CallerDisconnected> CALLER_DISCONNECTED = AttributeKey.create("callerGone",
			CallerDisconnected.class);

	private static final HttpHeader CLOSE = Connection.create("close");

	private final Inlet<HttpRequest> requests = Inlet.create("requests");

	private final Outlet<HttpResponse> responses = Outlet.create("responses");

	private final FlowShape<HttpRequest, HttpResponse> shape = FlowShape.of(this.requests, this.responses);

	private final Function<HttpRequest, CompletionStage<HttpResponse>> handler;

	private final ActorRef<ConnectionEvent> owner;

	/**
	 * Creates the stage.
	 * @param handler answers a request; it does not throw and its stage does not fail
	 * @param owner is told when connections are opened and have ended
	 */
	public ServerConnectionStage(Function<HttpRequest, CompletionStage<HttpResponse>> handler,
			ActorRef<ConnectionEvent> owner) {
		this.handler = handler;
		this.owner = owner;
	}

	@Override
	public FlowShape<HttpRequest, HttpResponse> shape() {
		return this.shape;
	}

	@Override
	public GraphStageLogic createLogic(Attributes inheritedAttributes) {
		return new Logic();
	}

	/**
	 * Tells when the caller of a request has disconnected.
	 *
	 * @param stage ends then, and never after the request was answered
	 */
	public record CallerDisconnected(CompletionStage<Done> stage) {

	}

	private final class Logic extends GraphStageLogic {

		private final ConnectionHandle connection;

		private Optional<CompletableFuture<Done>> callerGone = Optional.empty();

		private boolean ending;

		private Logic() {
			super(ServerConnectionStage.this.shape);
			this.connection = new ConnectionHandle(createAsyncCallback((Procedure<Done>) (done) -> onEnd()));
			AsyncCallback<HttpResponse> answered = createAsyncCallback((Procedure<HttpResponse>) this::onAnswered);
			setHandler(ServerConnectionStage.this.requests, new AbstractInHandler() {
				@Override
				public void onPush() {
					HttpRequest request = grab(ServerConnectionStage.this.requests);
					if (!isClosed(ServerConnectionStage.this.responses)) {
						onRequest(request, answered);
					}
				}

				@Override
				public void onUpstreamFinish() {
					onDisconnected();
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					tellGone();
					failStage(failure);
				}
			});
			setHandler(ServerConnectionStage.this.responses, new AbstractOutHandler() {
				@Override
				public void onPull() {
					if (!isClosed(ServerConnectionStage.this.requests)) {
						pull(ServerConnectionStage.this.requests);
					}
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					tellGone();
					cancelStage(cause);
				}
			});
		}

		@Override
		public void preStart() {
			ServerConnectionStage.this.owner.tell(new ConnectionEvent.Opened(this.connection));
		}

		@Override
		public void postStop() {
			ServerConnectionStage.this.owner.tell(new ConnectionEvent.Closed(this.connection));
		}

		private void onEnd() {
			this.ending = true;
			if (this.callerGone.isEmpty()) {
				complete(ServerConnectionStage.this.responses);
			}
		}

		private void onRequest(HttpRequest request, AsyncCallback<HttpResponse> answered) {
			CompletableFuture<Done> gone = new CompletableFuture<>();
			this.callerGone = Optional.of(gone);
			ServerConnectionStage.this.handler
				.apply(request.addAttribute(CALLER_DISCONNECTED, new CallerDisconnected(gone)))
				.thenAccept(answered::invoke);
		}

		private void onAnswered(HttpResponse response) {
			this.callerGone = Optional.empty();
			push(ServerConnectionStage.this.responses, this.ending ? response.addHeader(CLOSE) : response);
			if (isClosed(ServerConnectionStage.this.requests)) {
				completeStage();
			}
			else if (this.ending) {
				complete(ServerConnectionStage.this.responses);
			}
		}

		// A caller that only closed its sending side still gets the answer.
		private void onDisconnected() {
			if (this.callerGone.isPresent()) {
				tellGone();
			}
			else {
				completeStage();
			}
		}

		private void tellGone() {
			this.callerGone.ifPresent((gone) -> gone.complete(Done.getInstance()));
		}

	}

}
