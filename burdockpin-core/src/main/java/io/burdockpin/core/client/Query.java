package io.burdockpin.core.client;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/** A query to a member of the control group. */
public sealed interface Query {

	/** Lists all jobs, without their payloads. */
	record ListJobs() implements Query {

	}

	/**
	 * Shows one job with its result.
	 *
	 * @param job identifier of the job
	 */
	record ShowJob(JobId job) implements Query {

	}

	/** Lists all campaigns. */
	record ListCampaigns() implements Query {

	}

	/** Lists the tokens of all holders. */
	record ListTokens() implements Query {

	}

	/** Lists the members of the control group. */
	record ListMembers() implements Query {

	}

	/** Shows the configuration. */
	record ShowConfiguration() implements Query {

	}

	/**
	 * Explains the state and the placement of a job.
	 *
	 * @param job identifier of the job
	 */
	record ExplainJob(JobId job) implements Query {

	}

	/**
	 * Shows the claim on a non-repeatable request, with the stored response.
	 *
	 * @param team the team of the request, or the reserved team of open queues
	 * @param requestId request identifier chosen by the caller
	 */
	record ShowClaim(TeamName team, RequestId requestId) implements Query {

	}

}
