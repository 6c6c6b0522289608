package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.router.BurdockHeader;
import io.burdockpin.entry.router.CallerRequest;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.runtime.http.ServerConnectionStage;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Serves {@code POST /v1/queues/{queue}/requests}, the requests of callers. */
final class QueueEndpoint implements HttpEndpoint {

	/**
	 * The router answers by the deadline. The margin is only used up if the router has
	 * failed.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 5000;

	/** Codes of refusals that occur before the queue is known to exist. */
	private static final Set<ErrorCode> CODES_WITHOUT_QUEUE_LABEL = EnumSet.of(ErrorCode.UNKNOWN_QUEUE,
			ErrorCode.BODY_TOO_LARGE, ErrorCode.NO_MAJORITY, ErrorCode.STOPPING);

	private final EntryActors actors;

	private final RequestBodyReader bodies;

	private final ResponseFactory responses;

	private final LimitSettings limits;

	private final EntryIdentity identity;

	private final MetricRegistry metrics;

	QueueEndpoint(EntryActors actors, RequestBodyReader bodies, ResponseFactory responses, LimitSettings limits,
			EntryIdentity identity, MetricRegistry metrics) {
		this.actors = actors;
		this.bodies = bodies;
		this.responses = responses;
		this.limits = limits;
		this.identity = identity;
		this.metrics = metrics;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		boolean matches = request.method().equals(HttpMethods.POST) && segments.size() == 4
				&& segments.get(0).equals("v1") && segments.get(1).equals("queues")
				&& segments.get(3).equals("requests");
		return matches ? Optional.of(submit(request, new QueueName(segments.get(2)))) : Optional.empty();
	}

	private CompletionStage<HttpResponse> submit(HttpRequest request, QueueName queue) {
		Optional<KeyHash> keyHash = CallerHeaders.keyHash(request);
		Optional<RequestId> requestId = CallerHeaders.requestId(request);
		boolean repeatable = CallerHeaders.repeatable(request);
		long timeoutMillis = CallerHeaders.timeoutMillis(request, this.limits.defaultTimeoutMillis());
		RequestId effectiveId = requestId.orElseGet(() -> new RequestId("r-" + UUID.randomUUID()));
		return this.bodies.read(request, this.limits.bodyBytes()).thenCompose((body) -> {
			AdmissionRequest admissionRequest = new AdmissionRequest(queue, body.length, keyHash, requestId, repeatable,
					timeoutMillis);
			String contentType = request.entity().getContentType().toString();
			return submit(new CallerRequest(admissionRequest, effectiveId, contentType, Payload.of(body)),
					request.getAttribute(ServerConnectionStage.CALLER_DISCONNECTED));
		});
	}

	private CompletionStage<HttpResponse> submit(CallerRequest request,
			Optional<ServerConnectionStage.CallerDisconnected> callerGone) {
		Duration timeout = Duration.ofMillis(this.limits.timeoutMillis() + ANSWER_MARGIN_MILLIS);
		CompletableFuture<ActorRef<FinalResponse>> caller = new CompletableFuture<>();
		CompletionStage<FinalResponse> finalResponse = this.actors.ask(this.actors.router(),
				(ActorRef<FinalResponse> replyTo) -> {
					caller.complete(replyTo);
					return new RouterCommand.Submit(request, this.identity.nowMillis(), replyTo);
				}, timeout);
		// Registered after the request was sent, so that the router receives the request
		// before the disconnect.
		callerGone.ifPresent((gone) -> gone.stage()
			.thenAcceptBoth(caller,
					(done, replyTo) -> this.actors.router().tell(new RouterCommand.CallerDisconnected(replyTo))));
		return finalResponse.handle((found, failure) -> {
			FinalResponse answer = (failure != null)
					? FinalResponse.Refused.of(ErrorCode.OUTCOME_UNKNOWN, "no answer before the timeout") : found;
			count(request, answer);
			return this.responses.fromAnswer(answer)
				.addHeader(RawHeader.create(BurdockHeader.REQUEST_ID.headerName(), request.requestId().value()));
		});
	}

	private void count(CallerRequest request, FinalResponse answer) {
		Optional<ErrorCode> code = (answer instanceof FinalResponse.Refused refused) ? Optional.of(refused.code())
				: Optional.empty();
		// Queue names that do not exist are chosen by callers and would make the number
		// of label values unbounded.
		boolean queueKnown = code.filter(CODES_WITHOUT_QUEUE_LABEL::contains).isEmpty();
		this.metrics.increment(Metric.REQUESTS, queueKnown ? request.admissionRequest().queue().value() : "",
				answer.outcome().name(), code.map(ErrorCode::name).orElse(""));
		code.ifPresent((refusal) -> this.metrics.increment(Metric.REFUSALS, refusal.name()));
	}

}
