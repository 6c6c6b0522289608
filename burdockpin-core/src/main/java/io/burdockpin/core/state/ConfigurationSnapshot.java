package io.burdockpin.core.state;

import java.util.List;

/**
 * The whole configuration at one log index. Immutable.
 *
 * @param index log index of the last accepted configuration command, 0 before the first
 * @param pools all pools
 * @param hosts all hosts
 * @param teams all teams
 * @param keys all keys, withdrawn ones included
 * @param queues all queues
 */
public record ConfigurationSnapshot(long index, List<PoolRecord> pools, List<HostRecord> hosts, List<TeamRecord> teams,
		List<KeyRecord> keys, List<QueueRecord> queues) {

	public ConfigurationSnapshot {
		pools = List.copyOf(pools);
		hosts = List.copyOf(hosts);
		teams = List.copyOf(teams);
		keys = List.copyOf(keys);
		queues = List.copyOf(queues);
	}

}
