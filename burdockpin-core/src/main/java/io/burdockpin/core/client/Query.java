package io.burdockpin.core.client;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/** What can be asked of a control member. */
public sealed interface Query {

	/** All jobs, without their payloads. */
	record ListJobs() implements Query {

	}

	/**
	 * One job with its result.
	 *
	 * @param job the job
	 */
	record ShowJob(JobId job) implements Query {

	}

	/** All campaigns. */
	record ListCampaigns() implements Query {

	}

	/** The tokens of all holders. */
	record ListTokens() implements Query {

	}

	/** The members of the control group. */
	record ListMembers() implements Query {

	}

	/** The configuration. */
	record ShowConfiguration() implements Query {

	}

	/**
	 * Why a job is where it is.
	 *
	 * @param job the job
	 */
	record ExplainJob(JobId job) implements Query {

	}

	/**
	 * The claim on a request that is not repeatable, with its kept answer.
	 *
	 * @param team the team, or the reserved team of open queues
	 * @param requestId the caller's identifier
	 */
	record ShowClaim(TeamName team, RequestId requestId) implements Query {

	}

}
