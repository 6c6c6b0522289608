package io.burdockpin.core.state;

import java.util.List;

/**
 * The complete replicated state at one log index. Immutable.
 *
 * @param index the log index of the last applied entry
 * @param timeMillis the largest proposal time seen, in milliseconds since the epoch
 * @param configuration the configuration with the index of its last change
 * @param holders the registered incarnations of entry hosts
 * @param tokens the tokens of each incarnation, ordered by team
 * @param claims the claims, ordered by the time in their request identifiers
 * @param jobs the jobs, in the order of submission
 * @param campaigns the campaigns, ordered by name
 * @param dedups the stored results of operator commands, oldest first
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
