package io.burdockpin.core.maintenance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.state.HostRecord;

/**
 * Counts hosts that were lost on their own within a window. Mutable, owned by one
 * planner.
 * <p>
 * Hosts that are already lost when a leader starts do not count: they may have been lost
 * for days. A loss that coincides with the change of leader is seen by the new leader,
 * because a host becomes lost only a lease after its last report.
 */
final class HostLossMonitor {

	private final long windowMillis;

	private final Set<HostName> lostHosts = new HashSet<>();

	private final Map<HostName, Loss> losses = new HashMap<>();

	private boolean initialized;

	HostLossMonitor(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	// life cycle

	/** Forgets all losses, as a new leader does. */
	void reset() {
		this.lostHosts.clear();
		this.losses.clear();
		this.initialized = false;
	}

	/**
	 * Takes the hosts of a round.
	 * @param hosts all hosts
	 * @param planned hosts that a campaign has taken out
	 * @param nowMillis the time of the round
	 */
	void observe(List<HostRecord> hosts, Set<HostName> planned, long nowMillis) {
		for (HostRecord host : hosts) {
			HostName name = host.spec().name();
			if (host.state() != HostState.LOST) {
				this.lostHosts.remove(name);
			}
			else if (this.lostHosts.add(name) && this.initialized && !planned.contains(name)) {
				this.losses.put(name, new Loss(host.pool(), nowMillis));
			}
		}
		this.losses.values().removeIf((loss) -> nowMillis - loss.lostMillis() > this.windowMillis);
		this.initialized = true;
	}

	/**
	 * Forgets the losses of some pools, because the operator has resumed their campaign.
	 * @param pools the pools
	 */
	void acknowledge(List<PoolName> pools) {
		this.losses.values().removeIf((loss) -> pools.contains(loss.pool()));
	}

	// access

	/**
	 * Counts the losses in some pools within the window.
	 * @param pools the pools
	 * @return the number of hosts
	 */
	int countIn(List<PoolName> pools) {
		int count = 0;
		for (Loss loss : this.losses.values()) {
			count += pools.contains(loss.pool()) ? 1 : 0;
		}
		return count;
	}

	/**
	 * A loss.
	 *
	 * @param pool the pool of the host
	 * @param lostMillis when the loss was first seen
	 */
	private record Loss(PoolName pool, long lostMillis) {
	}

}
