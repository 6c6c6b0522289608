package io.burdockpin.core.placement;

import java.util.List;

import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * Records of the replicated state that are the input of one planning round. Immutable.
 *
 * @param pools all pools
 * @param hosts all hosts
 * @param teams all teams
 * @param jobs all jobs that have not ended; may include ended jobs
 * @param tokens the tokens of all entry hosts, which count against the teams' limits
 * @param campaigns all campaigns
 */
public record FleetView(List<PoolRecord> pools, List<HostRecord> hosts, List<TeamRecord> teams, List<JobRecord> jobs,
		List<TokenRecord> tokens, List<CampaignRecord> campaigns) {

	/** View without any records. */
	public static final FleetView EMPTY = new FleetView(List.of(), List.of(), List.of(), List.of(), List.of(),
			List.of());

	public FleetView {
		pools = List.copyOf(pools);
		hosts = List.copyOf(hosts);
		teams = List.copyOf(teams);
		jobs = List.copyOf(jobs);
		tokens = List.copyOf(tokens);
		campaigns = List.copyOf(campaigns);
	}

}
