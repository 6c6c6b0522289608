package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;

/**
 * The tables of the state machine, restored from a snapshot. Mutable and owned by the
 * state machine.
 */
final class FleetTables {

	final RecordTable<PoolName, PoolRecord> pools;

	final RecordTable<HostName, HostRecord> hosts;

	final RecordTable<TeamName, TeamRecord> teams;

	final RecordTable<KeyHash, KeyRecord> keys;

	final RecordTable<QueueName, QueueRecord> queues;

	final RecordTable<CampaignName, CampaignRecord> campaigns;

	final HolderTable holders;

	final TokenTable tokens;

	final ClaimTable claims;

	final JobTable jobs;

	final DedupTable dedups;

	FleetTables(FleetSnapshot snapshot) {
		ConfigurationSnapshot configuration = snapshot.configuration();
		this.pools = new RecordTable<>("pool", ErrorCode.UNKNOWN_POOL, PoolRecord::name, PoolRecord::version)
			.restore(configuration.pools());
		this.hosts = new RecordTable<>("host", ErrorCode.UNKNOWN_HOST, HostRecord::name, HostRecord::version)
			.restore(configuration.hosts());
		this.teams = new RecordTable<>("team", ErrorCode.UNKNOWN_TEAM, TeamRecord::name, TeamRecord::version)
			.restore(configuration.teams());
		this.keys = new RecordTable<>("key", ErrorCode.KEY_UNKNOWN, KeyRecord::hash, KeyRecord::version)
			.restore(configuration.keys());
		this.queues = new RecordTable<>("queue", ErrorCode.UNKNOWN_QUEUE, QueueRecord::name, QueueRecord::version)
			.restore(configuration.queues());
		this.campaigns = new RecordTable<>("campaign", ErrorCode.UNKNOWN_CAMPAIGN, CampaignRecord::name,
				CampaignRecord::version)
			.restore(snapshot.campaigns());
		this.holders = new HolderTable().restore(snapshot.holders());
		this.tokens = new TokenTable().restore(snapshot.tokens());
		this.claims = new ClaimTable().restore(snapshot.claims());
		this.jobs = new JobTable().restore(snapshot.jobs());
		this.dedups = new DedupTable().restore(snapshot.dedups());
	}

}
