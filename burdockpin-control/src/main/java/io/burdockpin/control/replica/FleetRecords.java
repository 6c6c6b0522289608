package io.burdockpin.control.replica;

import java.util.List;

import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * The replicated records as this member has applied them. Immutable.
 *
 * @param leader whether this member leads and has applied all entries of earlier terms
 * @param term the current term
 * @param index log index up to which the records are applied
 * @param configuration the configuration
 * @param holders the registered lives of entry hosts
 * @param tokens their tokens
 * @param jobs the jobs
 * @param campaigns the campaigns
 */
public record FleetRecords(boolean leader, long term, long index, ConfigurationSnapshot configuration,
		List<HolderRecord> holders, List<TokenRecord> tokens, List<JobRecord> jobs, List<CampaignRecord> campaigns) {

}
