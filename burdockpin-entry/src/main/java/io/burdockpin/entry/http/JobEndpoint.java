package io.burdockpin.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongFunction;

import io.burdockpin.core.admission.AdmissionResult;
import io.burdockpin.core.admission.RequestIdWindow;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.router.RouterCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves {@code /v1/jobs}: submission, state, result and cancellation of jobs. A DELETE
 * of the result acknowledges that the caller has fetched it.
 */
final class JobEndpoint implements HttpEndpoint {

	/** Base64 encoding adds a third to the payload, and the other fields are short. */
	private static final int MAX_BODY_BYTES = 2 * JobSpec.MAX_PAYLOAD_BYTES;

	private static final long ANSWER_MARGIN_MILLIS = 2000;

	private static final int JOB_ID_DIGITS = 16;

	private final EntryActors actors;

	private final RequestBodyReader bodies;

	private final JsonBodyMapper json;

	private final ResponseFactory responses;

	private final EntryIdentity identity;

	private final RequestIdWindow requestIdWindow;

	private final long proposalMillis;

	JobEndpoint(EntryActors actors, RequestBodyReader bodies, JsonBodyMapper json, ResponseFactory responses,
			EntryIdentity identity, RequestIdWindow identifierWindow, long proposalMillis) {
		this.actors = actors;
		this.bodies = bodies;
		this.json = json;
		this.responses = responses;
		this.identity = identity;
		this.requestIdWindow = identifierWindow;
		this.proposalMillis = proposalMillis;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (segments.size() < 2 || !segments.subList(0, 2).equals(List.of("v1", "jobs"))) {
			return Optional.empty();
		}
		if (segments.size() == 2 && request.method().equals(HttpMethods.POST)) {
			return Optional.of(this.bodies.read(request, MAX_BODY_BYTES).thenCompose((body) -> submit(request, body)));
		}
		boolean result = segments.size() == 4 && segments.get(3).equals("result");
		if (segments.size() != 3 && !result) {
			return Optional.empty();
		}
		JobId job = new JobId(segments.get(2));
		if (request.method().equals(HttpMethods.GET)) {
			return Optional.of(withTeam(request, (team) -> show(team, job, result)));
		}
		if (request.method().equals(HttpMethods.DELETE)) {
			return Optional.of(withTeam(request, (team) -> propose(job,
					result ? new JobCommand.AcknowledgeResult(job, team) : new JobCommand.CancelJob(job, team))));
		}
		return Optional.empty();
	}

	private CompletionStage<HttpResponse> submit(HttpRequest request, byte[] body) {
		RequestId requestId = CallerHeaders.requestId(request)
			.orElseThrow(() -> new HttpRefusedException(ErrorCode.REQUEST_ID_REJECTED,
					"the header Burdock-Request-Id is missing", null));
		JobDocument document = this.json.read(body, JobDocument.class);
		return withTeam(request, (team) -> {
			JobSpec spec = document.spec(team);
			requireRequestIdInWindow(spec, requestId);
			JobId job = jobId(team, requestId);
			this.actors.router()
				.tell(new RouterCommand.RecordJob(job, team, CallerHeaders.keyHash(request), spec.repeatable()));
			return propose(job, new JobCommand.SubmitJob(job, spec));
		});
	}

	// Job records are deleted one day after the end of the job. A resend after that would
	// run the job again.
	private void requireRequestIdInWindow(JobSpec spec, RequestId requestId) {
		if (!spec.repeatable() && !this.requestIdWindow.contains(requestId, this.identity.nowMillis())) {
			throw new HttpRefusedException(ErrorCode.REQUEST_ID_REJECTED,
					"a job that is not repeatable needs a request identifier <unix seconds>-<token> within the time window",
					null);
		}
	}

	private CompletionStage<HttpResponse> show(TeamName team, JobId job, boolean result) {
		return call((correlation) -> new ClientMessage.QueryRequest(correlation, new Query.ShowJob(job)))
			.thenApply((ended) -> {
				if (ended instanceof CallResult.Answered answered
						&& answered.message() instanceof ClientMessage.QueryReply reply) {
					return findJob(reply, team, job).map((record) -> show(record, reply, result))
						.orElseGet(() -> this.responses.error(ErrorCode.UNKNOWN_JOB, "the job does not exist"));
				}
				return this.responses.error(ErrorCode.NO_MAJORITY, "no control member answered the query");
			});
	}

	private HttpResponse show(JobRecord record, ClientMessage.QueryReply reply, boolean result) {
		if (!result) {
			return this.responses.json(200, JobView.of(record, reply.current(), reply.index()));
		}
		if (record.state().ended()) {
			return this.responses.bytes(200, ContentTypes.APPLICATION_OCTET_STREAM, record.result().bytes());
		}
		return this.responses.error(ErrorCode.STATE_CONFLICT, "the job has not ended");
	}

	private static Optional<JobRecord> findJob(ClientMessage.QueryReply reply, TeamName team, JobId job) {
		if (reply.result() instanceof QueryResult.Jobs jobs) {
			return jobs.jobs()
				.stream()
				.filter((record) -> record.id().equals(job) && record.spec().team().equals(team))
				.findFirst();
		}
		return Optional.empty();
	}

	private CompletionStage<HttpResponse> propose(JobId job, Command command) {
		// Resends have the same job identifier and are idempotent by it, so no request
		// identifier is proposed, and the log stores no result for it.
		return call((correlation) -> new ClientMessage.Propose(correlation, Optional.empty(), OptionalLong.empty(),
				command))
			.thenApply((result) -> toResponse(result, job));
	}

	private HttpResponse toResponse(CallResult result, JobId job) {
		if (result instanceof CallResult.NotProposed notProposed) {
			return recordRefusal(job, ErrorCode.NO_MAJORITY, notProposed.reason());
		}
		if (result instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.ProposeReply reply) {
			if (reply.result() instanceof CommandResult.Rejected rejected) {
				return recordRefusal(job, rejected.code(), rejected.message());
			}
			return this.responses.json(200, Map.of("job", job.value()));
		}
		return recordRefusal(job, ErrorCode.OUTCOME_UNKNOWN, "it is unknown whether the change took effect");
	}

	private HttpResponse recordRefusal(JobId job, ErrorCode code, String message) {
		this.actors.router().tell(new RouterCommand.RecordJobRefusal(job, code));
		return this.responses.error(code, message);
	}

	// helpers

	private CompletionStage<HttpResponse> withTeam(HttpRequest request,
			Function<TeamName, CompletionStage<HttpResponse>> action) {
		return this.actors
			.ask(this.actors.router(),
					(ActorRef<AdmissionResult> replyTo) -> new RouterCommand.CheckKey(CallerHeaders.keyHash(request),
							replyTo),
					Duration.ofMillis(ANSWER_MARGIN_MILLIS))
			.thenCompose((result) -> {
				if (result instanceof AdmissionResult.Refused refused) {
					throw new HttpRefusedException(refused.code(), refused.message(), null);
				}
				return action.apply(((AdmissionResult.Admitted) result).team().orElseThrow());
			});
	}

	private CompletionStage<CallResult> call(LongFunction<ClientMessage> message) {
		Duration timeout = Duration.ofMillis(this.proposalMillis + ANSWER_MARGIN_MILLIS);
		return this.actors
			.ask(this.actors.control(),
					(ActorRef<CallResult> replyTo) -> new ControlCommand.Call(message, this.proposalMillis, replyTo),
					timeout)
			.exceptionally((failure) -> new CallResult.Unknown("no answer before the timeout"));
	}

	private static JobId jobId(TeamName team, RequestId requestId) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			byte[] hash = digest.digest((team + "/" + requestId).getBytes(StandardCharsets.UTF_8));
			return new JobId("j-" + HexFormat.of().formatHex(hash).substring(0, JOB_ID_DIGITS));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
