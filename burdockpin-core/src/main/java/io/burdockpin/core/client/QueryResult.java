package io.burdockpin.core.client;

import java.util.List;

import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ClaimRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TokenRecord;

/** Answers to queries. */
public sealed interface QueryResult {

	/**
	 * Jobs; empty when a single job was asked for that does not exist.
	 *
	 * @param jobs the jobs
	 */
	record Jobs(List<JobRecord> jobs) implements QueryResult {

		public Jobs {
			jobs = List.copyOf(jobs);
		}

	}

	/**
	 * Campaigns.
	 *
	 * @param campaigns the campaigns
	 */
	record Campaigns(List<CampaignRecord> campaigns) implements QueryResult {

		public Campaigns {
			campaigns = List.copyOf(campaigns);
		}

	}

	/**
	 * Tokens and their holders.
	 *
	 * @param holders the registered lives of entry hosts
	 * @param tokens their tokens
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
	 * @param members the members
	 */
	record Members(List<MemberStatus> members) implements QueryResult {

		public Members {
			members = List.copyOf(members);
		}

	}

	/**
	 * The configuration.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationResult(ConfigurationSnapshot configuration) implements QueryResult {

	}

	/**
	 * An explanation in short sentences.
	 *
	 * @param lines the sentences
	 */
	record Explanation(List<String> lines) implements QueryResult {

		public Explanation {
			lines = List.copyOf(lines);
		}

	}

	/**
	 * Claims; empty when the claim that was asked for does not exist.
	 *
	 * @param claims the claims
	 */
	record Claims(List<ClaimRecord> claims) implements QueryResult {

		public Claims {
			claims = List.copyOf(claims);
		}

	}

}
