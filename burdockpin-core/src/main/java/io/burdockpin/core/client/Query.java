package io.burdockpin.core.client;

import io.burdockpin.core.model.JobId;

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

}
