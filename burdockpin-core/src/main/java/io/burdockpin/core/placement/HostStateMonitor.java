package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HostRecord;

/**
 * Derives host state changes from worker reports and from missing reports: hosts that are
 * lost, that have returned or that fail their jobs. Not thread-safe; owned by one
 * planner.
 */
final class HostStateMonitor {

	private static final int PERCENT = 100;

	private final LeaseSettings settings;

	private final WorkerTable workers;

	private final WorkerHealth health;

	private final Map<HostName, Long> firstSeenMillis = new HashMap<>();

	HostStateMonitor(LeaseSettings settings, WorkerTable workers, WorkerHealth health) {
		this.settings = settings;
		this.workers = workers;
		this.health = health;
	}

	// life cycle

	/** Restarts the silence period of all hosts at the start of a new term. */
	void reset() {
		this.firstSeenMillis.clear();
	}

	/**
	 * Returns the host state changes of a round.
	 * @param hosts all hosts
	 * @param hostsOut hosts that a campaign has taken out of service; if they are lost,
	 * the maintenance planner changes their state
	 * @param nowMillis the time of the round
	 * @return one command for each host that changes its state
	 */
	List<Command> stateChanges(List<HostRecord> hosts, Set<HostName> hostsOut, long nowMillis) {
		Map<PoolName, PoolCount> counts = countPools(hosts);
		List<Command> commands = new ArrayList<>();
		for (HostRecord host : hosts) {
			this.firstSeenMillis.putIfAbsent(host.spec().name(), nowMillis);
			if (host.state() == HostState.LOST && hostsOut.contains(host.spec().name())) {
				continue;
			}
			nextState(host, counts.get(host.pool()), nowMillis)
				.ifPresent((state) -> commands.add(setState(host.spec().name(), state)));
		}
		return commands;
	}

	// access

	/**
	 * Returns when a host becomes silent unless it reports again.
	 * @param name a host of the last round
	 * @return the deadline in milliseconds since the epoch
	 */
	long silenceDeadlineMillis(HostName name) {
		long lastContactMillis = this.workers.lastReport(name)
			.map(WorkerTable.LastReport::reportedMillis)
			.orElseGet(() -> this.firstSeenMillis.get(name));
		return lastContactMillis + this.settings.expiryMillis();
	}

	// helpers

	private Optional<HostState> nextState(HostRecord host, PoolCount pool, long nowMillis) {
		HostName name = host.spec().name();
		boolean failing = this.health.hasReachedFailureThreshold(name)
				&& pool.maySetAside(this.health.settings().maximumSetAsidePercent());
		boolean retryDue = host.state() == HostState.SET_ASIDE && this.health.isRetryDue(name, nowMillis);
		HostStateTransition.Observation observation = new HostStateTransition.Observation(
				this.workers.isLive(name, nowMillis), isSilent(name, nowMillis), failing, retryDue);
		Optional<HostState> next = HostStateTransition.of(host.state()).next(observation);
		if (next.equals(Optional.of(HostState.SET_ASIDE))) {
			pool.setAside++;
			this.health.recordSetAside(name, nowMillis);
		}
		return next;
	}

	private boolean isSilent(HostName name, long nowMillis) {
		return nowMillis >= silenceDeadlineMillis(name);
	}

	private static Map<PoolName, PoolCount> countPools(List<HostRecord> hosts) {
		Map<PoolName, PoolCount> counts = new HashMap<>();
		for (HostRecord host : hosts) {
			PoolCount count = counts.computeIfAbsent(host.pool(), (pool) -> new PoolCount());
			count.total += host.state().countsInPool() ? 1 : 0;
			count.setAside += (host.state() == HostState.SET_ASIDE) ? 1 : 0;
		}
		return counts;
	}

	private static Command setState(HostName host, HostState state) {
		return new ConfigurationCommand.SetHostState(host, state, ChangeCause.WORKER_REPORT);
	}

	private static final class PoolCount {

		private int total;

		private int setAside;

		private boolean maySetAside(int maximumPercent) {
			return (this.setAside + 1) * PERCENT <= this.total * maximumPercent;
		}

	}

}
