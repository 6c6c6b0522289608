package io.burdockpin.entry.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.model.AttributeKey;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
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
 */
final class CallerConnection extends GraphStage<FlowShape<HttpRequest, HttpResponse>> {

	/** Attribute of each request: tells when its caller has disconnected. */
	static final AttributeKey<CallerGone> CALLER_GONE = AttributeKey.create("callerGone", CallerGone.class);

	private final Inlet<HttpRequest> requests = Inlet.create("requests");

	private final Outlet<HttpResponse> responses = Outlet.create("responses");

	private final FlowShape<HttpRequest, HttpResponse> shape = FlowShape.of(this.requests, this.responses);

	private final Function<HttpRequest, CompletionStage<HttpResponse>> handler;

	/**
	 * Creates the stage.
	 * @param handler answers a request; it does not throw and its stage does not fail
	 */
	CallerConnection(Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
		this.handler = handler;
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
	record CallerGone(CompletionStage<Done> stage) {

	}

	private final class Logic extends GraphStageLogic {

		private Optional<CompletableFuture<Done>> callerGone = Optional.empty();

		private Logic() {
			super(CallerConnection.this.shape);
			AsyncCallback<HttpResponse> answered = createAsyncCallback((Procedure<HttpResponse>) this::onAnswered);
			setHandler(CallerConnection.this.requests, new AbstractInHandler() {
				@Override
				public void onPush() {
					onRequest(grab(CallerConnection.this.requests), answered);
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
			setHandler(CallerConnection.this.responses, new AbstractOutHandler() {
				@Override
				public void onPull() {
					if (!isClosed(CallerConnection.this.requests)) {
						pull(CallerConnection.this.requests);
					}
				}

				@Override
				public void onDownstreamFinish(Throwable cause) {
					tellGone();
					cancelStage(cause);
				}
			});
		}

		private void onRequest(HttpRequest request, AsyncCallback<HttpResponse> answered) {
			CompletableFuture<Done> gone = new CompletableFuture<>();
			this.callerGone = Optional.of(gone);
			CallerConnection.this.handler.apply(request.addAttribute(CALLER_GONE, new CallerGone(gone)))
				.thenAccept(answered::invoke);
		}

		private void onAnswered(HttpResponse response) {
			this.callerGone = Optional.empty();
			push(CallerConnection.this.responses, response);
			if (isClosed(CallerConnection.this.requests)) {
				completeStage();
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
