package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.HostRecord;

/**
 * Capacities of the hosts that accept new jobs, by pool. A job that does not even fit on
 * an empty host of its pool cannot be placed now, so no part of its team's limit is
 * reserved for it. Immutable after construction.
 */
final class PoolHostSizes {

	private final Map<PoolName, Set<Resources>> capacitiesByPool = new HashMap<>();

	PoolHostSizes(List<HostRecord> hosts) {
		for (HostRecord host : hosts) {
			if (host.state().acceptsNewJobs()) {
				this.capacitiesByPool.computeIfAbsent(host.pool(), (pool) -> new HashSet<>())
					.add(host.spec().capacity());
			}
		}
	}

	boolean canFit(JobSpec job) {
		for (Resources capacity : this.capacitiesByPool.getOrDefault(job.pool(), Set.of())) {
			if (job.resources().fitsIn(capacity)) {
				return true;
			}
		}
		return false;
	}

}
