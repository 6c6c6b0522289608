package io.burdockpin.core.client;

import java.util.List;

import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ClaimRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TokenRecord;

/** Result of a {@link Query}. */
public sealed interface QueryResult {

	/**
	 * Jobs.
	 *
	 * @param jobs the jobs, empty if the requested job does not exist
	 */
	record Jobs(List<JobRecord> jobs) implements QueryResult {

		public Jobs {
			jobs = List.copyOf(jobs);
		}

	}

	/**
	 * Campaigns.
	 *
	 * @param campaigns all campaigns
	 */
	record Campaigns(List<CampaignRecord> campaigns) implements QueryResult {

		public Campaigns {
			campaigns = List.copyOf(campaigns);
		}

	}

	/**
	 * Tokens and their holders.
	 *
	 * @param holders the registered incarnations of entry hosts
	 * @param tokens the tokens of these holders
	 */
	record Tokens(List<HolderRecord> holders, List<TokenRecord> tokens) implements QueryResult {

		public Tokens {
			holders = List.copyOf(holders);
			tokens = List.copyOf(tokens);
		}

	}

	/**
	 * Members of the control group.
	 *
	 * @param members status of each member
	 */
	record Members(List<MemberStatus> members) implements QueryResult {

		public Members {
			members = List.copyOf(members);
		}

	}

	/**
	 * The configuration.
	 *
	 * @param configuration the applied configuration
	 */
	record ConfigurationResult(ConfigurationSnapshot configuration) implements QueryResult {

	}

	/**
	 * An explanation of the state and the placement of a job.
	 *
	 * @param lines short sentences, one for each line
	 */
	record Explanation(List<String> lines) implements QueryResult {

		public Explanation {
			lines = List.copyOf(lines);
		}

	}

	/**
	 * Claims on non-repeatable requests.
	 *
	 * @param claims the claims, empty if the requested claim does not exist
	 */
	record Claims(List<ClaimRecord> claims) implements QueryResult {

		public Claims {
			claims = List.copyOf(claims);
		}

	}

}
