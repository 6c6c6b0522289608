package io.burdockpin.core.limit;

import java.util.List;

import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * The replicated records that the division of limits depends on. Immutable.
 *
 * @param teams all teams
 * @param holders the registered lives of entry hosts
 * @param tokens their tokens
 * @param jobs all jobs
 * @param hosts all hosts, which tell whether a waiting job can be placed
 */
public record TokenView(List<TeamRecord> teams, List<HolderRecord> holders, List<TokenRecord> tokens,
		List<JobRecord> jobs, List<HostRecord> hosts) {

	public TokenView {
		teams = List.copyOf(teams);
		holders = List.copyOf(holders);
		tokens = List.copyOf(tokens);
		jobs = List.copyOf(jobs);
		hosts = List.copyOf(hosts);
	}

}
