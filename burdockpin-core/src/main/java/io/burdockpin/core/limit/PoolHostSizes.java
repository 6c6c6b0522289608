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
 * The sizes of the hosts that take new jobs, by pool. A job that none of them can take
 * even when it is empty cannot use a part of its team's limit now. Immutable after
 * construction.
 */
final class PoolHostSizes {

	private final Map<PoolName, Set<Resources>> sizes = new HashMap<>();

	PoolHostSizes(List<HostRecord> hosts) {
		for (HostRecord host : hosts) {
			if (host.state().acceptsNewJobs()) {
				this.sizes.computeIfAbsent(host.pool(), (pool) -> new HashSet<>()).add(host.spec().capacity());
			}
		}
	}

	boolean canFit(JobSpec job) {
		for (Resources size : this.sizes.getOrDefault(job.pool(), Set.of())) {
			if (job.resources().fitsIn(size)) {
				return true;
			}
		}
		return false;
	}

}
