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
 * Handles the requests of one caller connection sequentially and notifies the request in
 * flight when the caller disconnects. The stage is immutable; the state of a connection
 * is kept in its {@link GraphStageLogic}.
 * <p>
 * On termination of the server, Pekko HTTP aborts a connection as soon as it has taken
 * the response, which loses the bytes that are not sent yet. Therefore this stage closes
 * the connection: it completes its outlet and stays until Pekko HTTP reports that the
 * connection is closed.
 */
public final class ServerConnectionStage extends GraphStage<FlowShape<HttpRequest, HttpResponse>> {

	/** Request attribute that signals when the caller disconnects. */
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
	 * @param handler handles a request; must neither throw nor return a stage that fails
	 * @param owner receives the events of all connections
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
	 * Signals that the caller of a request has disconnected.
	 *
	 * @param stage completes on the disconnect, but never after the response
	 */
	public record CallerDisconnected(CompletionStage<Done> stage) {

	}

	private final class Logic extends GraphStageLogic {

		private final ConnectionHandle connection;

		private Optional<CompletableFuture<Done>> callerDisconnected = Optional.empty();

		private boolean closing;

		private Logic() {
			super(ServerConnectionStage.this.shape);
			this.connection = new ConnectionHandle(createAsyncCallback((Procedure<Done>) (done) -> onClose()));
			AsyncCallback<HttpResponse> responseCallback = createAsyncCallback(
					(Procedure<HttpResponse>) this::onResponse);
			setHandler(ServerConnectionStage.this.requests, new AbstractInHandler() {
				@Override
				public void onPush() {
					HttpRequest request = grab(ServerConnectionStage.this.requests);
					if (!isClosed(ServerConnectionStage.this.responses)) {
						onRequest(request, responseCallback);
					}
				}

				@Override
				public void onUpstreamFinish() {
					onDisconnected();
				}

				@Override
				public void onUpstreamFailure(Throwable failure) {
					notifyDisconnected();
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
					notifyDisconnected();
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

		private void onClose() {
			this.closing = true;
			if (this.callerDisconnected.isEmpty()) {
				complete(ServerConnectionStage.this.responses);
			}
		}

		private void onRequest(HttpRequest request, AsyncCallback<HttpResponse> responseCallback) {
			CompletableFuture<Done> disconnected = new CompletableFuture<>();
			this.callerDisconnected = Optional.of(disconnected);
			ServerConnectionStage.this.handler
				.apply(request.addAttribute(CALLER_DISCONNECTED, new CallerDisconnected(disconnected)))
				.thenAccept(responseCallback::invoke);
		}

		private void onResponse(HttpResponse response) {
			this.callerDisconnected = Optional.empty();
			push(ServerConnectionStage.this.responses, this.closing ? response.addHeader(CLOSE) : response);
			if (isClosed(ServerConnectionStage.this.requests)) {
				completeStage();
			}
			else if (this.closing) {
				complete(ServerConnectionStage.this.responses);
			}
		}

		// A caller that only closed its sending side still gets the response.
		private void onDisconnected() {
			if (this.callerDisconnected.isPresent()) {
				notifyDisconnected();
			}
			else {
				completeStage();
			}
		}

		private void notifyDisconnected() {
			this.callerDisconnected.ifPresent((disconnected) -> disconnected.complete(Done.getInstance()));
		}

	}

}
