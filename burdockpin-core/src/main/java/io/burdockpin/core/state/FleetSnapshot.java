package io.burdockpin.core.state;

import java.util.List;

/**
 * The whole replicated state at one log index. Immutable.
 *
 * @param index the log index of the last applied entry
 * @param timeMillis the largest proposal time seen, in milliseconds since the epoch
 * @param configuration the configuration part with its own index
 * @param holders the registered lives of entry hosts
 * @param tokens the tokens of each life, in the order of teams
 * @param claims the claims, in the order of their identifiers' times
 * @param jobs the jobs, in the order of submission
 * @param campaigns the campaigns
 * @param dedups the kept results of operator commands, oldest first
 */
public record FleetSnapshot(long index, long timeMillis, ConfigurationSnapshot configuration,
		List<HolderRecord> holders, List<TokenRecord> tokens, List<ClaimRecord> claims, List<JobRecord> jobs,
		List<CampaignRecord> campaigns, List<DedupRecord> dedups) {

	public FleetSnapshot {
		holders = List.copyOf(holders);
		tokens = List.copyOf(tokens);
		claims = List.copyOf(claims);
		jobs = List.copyOf(jobs);
		campaigns = List.copyOf(campaigns);
		dedups = List.copyOf(dedups);
	}

	/**
	 * Returns the state before the first log entry.
	 * @return a snapshot without records
	 */
	public static FleetSnapshot empty() {
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(0, List.of(), List.of(), List.of(), List.of(),
				List.of());
		return new FleetSnapshot(0, 0, configuration, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
	}

}
