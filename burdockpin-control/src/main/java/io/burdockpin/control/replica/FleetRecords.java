package io.burdockpin.control.replica;

import java.util.List;

import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * The replicated records that this member has applied. Immutable.
 *
 * @param leader whether this member has applied all entries of earlier terms as the
 * leader, and a majority has confirmed its leadership after the records were requested
 * @param term the current term
 * @param confirmedMillis when the confirmation was requested, by the clock of this
 * process; no member was elected in a later term before that. Has no meaning unless this
 * member is the leader
 * @param index index of the last applied log entry
 * @param configuration pools, hosts, teams, keys and queues
 * @param holders the registered incarnations of entry hosts
 * @param tokens tokens of the holders
 * @param jobs all jobs, including ended ones
 * @param campaigns all maintenance campaigns
 */
public record FleetRecords(boolean leader, long term, long confirmedMillis, long index,
		ConfigurationSnapshot configuration, List<HolderRecord> holders, List<TokenRecord> tokens, List<JobRecord> jobs,
		List<CampaignRecord> campaigns) {

}
