package io.burdockpin.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.state.ClaimKey;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.JobRecord;

/** Answers queries from the state machine. Stateless. */
final class QueryAnswers {

	private QueryAnswers() {
	}

	static QueryResult answer(Query query, FleetState state, List<MemberStatus> members) {
		if (query instanceof Query.ListJobs) {
			return new QueryResult.Jobs(state.jobs().stream().map(QueryAnswers::withoutPayloads).toList());
		}
		if (query instanceof Query.ShowJob show) {
			return new QueryResult.Jobs(state.job(show.job()).stream().toList());
		}
		if (query instanceof Query.ListCampaigns) {
			return new QueryResult.Campaigns(state.campaigns());
		}
		if (query instanceof Query.ListTokens) {
			return new QueryResult.Tokens(state.holders(), state.tokens());
		}
		if (query instanceof Query.ShowConfiguration) {
			return new QueryResult.ConfigurationResult(state.configuration());
		}
		if (query instanceof Query.ShowClaim show) {
			ClaimKey key = new ClaimKey(show.team(), show.requestId());
			return new QueryResult.Claims(state.claim(key).stream().toList());
		}
		if (query instanceof Query.ExplainJob explain) {
			return new QueryResult.Explanation(explain(explain.job(), state.job(explain.job())));
		}
		return new QueryResult.Members(members);
	}

	private static List<String> explain(JobId id, Optional<JobRecord> found) {
		if (found.isEmpty()) {
			return List.of("Job %s does not exist or its result has expired.".formatted(id));
		}
		JobRecord job = found.get();
		List<String> lines = new ArrayList<>();
		lines.add("Job %s is %s.".formatted(id, job.state()));
		job.worker()
			.ifPresent((worker) -> lines
				.add("It is placed on host %s with lease epoch %d.".formatted(worker, job.leaseEpoch())));
		if (job.cancelRequested()) {
			lines.add("Cancellation was requested.");
		}
		if (!job.detail().isEmpty()) {
			lines.add("Reason: %s.".formatted(job.detail()));
		}
		lines.add("It has been moved %d times.".formatted(job.moveCount()));
		return lines;
	}

	private static JobRecord withoutPayloads(JobRecord job) {
		return new JobRecord(job.id(), withoutPayload(job.spec()), job.state(), job.worker(), job.leaseEpoch(),
				job.cancelRequested(), job.submittedMillis(), job.changedMillis(), job.moveCount(), job.detail(),
				Payload.EMPTY, Payload.EMPTY);
	}

	private static JobSpec withoutPayload(JobSpec spec) {
		return new JobSpec(spec.team(), spec.pool(), spec.resources(), spec.runMillis(), spec.urgent(),
				spec.repeatable(), Payload.EMPTY);
	}

}
