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
 * Counts unplanned host losses within a time window. Not thread-safe; owned by one
 * planner.
 * <p>
 * Hosts that are already lost in the first round of a leader are not counted, because
 * they may have been lost for days. A loss that coincides with a change of leader is
 * still counted, because a host becomes lost only one lease period after its last report.
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

	/** Discards all losses at the start of a new term. */
	void reset() {
		this.lostHosts.clear();
		this.losses.clear();
		this.initialized = false;
	}

	/**
	 * Records the hosts that have become lost since the previous round.
	 * @param hosts all hosts
	 * @param planned hosts that a campaign has taken out, which are not counted
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
	 * Discards the losses in some pools after the operator has resumed their campaign.
	 * @param pools the pools of the resumed campaign
	 */
	void acknowledge(List<PoolName> pools) {
		this.losses.values().removeIf((loss) -> pools.contains(loss.pool()));
	}

	// access

	/**
	 * Returns the number of losses in some pools within the window.
	 * @param pools the pools to include
	 * @return the number of lost hosts
	 */
	int countIn(List<PoolName> pools) {
		int count = 0;
		for (Loss loss : this.losses.values()) {
			count += pools.contains(loss.pool()) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Unplanned loss of a host.
	 *
	 * @param pool the pool of the host
	 * @param lostMillis when the loss was first observed
	 */
	private record Loss(PoolName pool, long lostMillis) {
	}

}
