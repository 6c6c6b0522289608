package io.burdockpin.core.limit;

import java.util.List;

import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * The replicated records on which the division of the upper limits depends. Immutable.
 *
 * @param teams all teams
 * @param holders the registered incarnations of entry hosts
 * @param tokens the token records of the holders
 * @param jobs all jobs
 * @param hosts all hosts, needed to tell whether a waiting job can be placed
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
