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
 * Follows from reports, and from their absence, which hosts are lost, back or unable to
 * run jobs. Mutable, owned by one planner.
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

	/** Starts the period of silence of all hosts anew, as a new leader does. */
	void reset() {
		this.firstSeenMillis.clear();
	}

	/**
	 * Decides the changes of host states for a round.
	 * @param hosts all hosts
	 * @param hostsOut hosts that a campaign has taken out; the maintenance planner brings
	 * them back when they are lost
	 * @param nowMillis the time of the round
	 * @return the commands
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
	 * Returns when a host counts as silent unless it reports.
	 * @param name a host of the last round
	 * @return the time
	 */
	long silenceDeadlineMillis(HostName name) {
		long heardMillis = this.workers.lastReport(name)
			.map(WorkerTable.LastReport::reportedMillis)
			.orElseGet(() -> this.firstSeenMillis.get(name));
		return heardMillis + this.settings.expiryMillis();
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
