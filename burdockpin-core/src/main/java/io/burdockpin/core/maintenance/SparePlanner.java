package io.burdockpin.core.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;

/**
 * Lends idle hosts of spare pools to pools whose jobs wait for free capacity, and returns
 * the hosts once they are idle there. Not thread-safe; owned by one actor.
 * <p>
 * The host record contains the home pool of a lent host, so any leader can return it. A
 * new leader restarts the idle period of all lent hosts.
 */
public final class SparePlanner {

	private final MaintenanceSettings settings;

	private final Map<HostName, Long> lastNeededMillis = new HashMap<>();

	private final Map<PoolName, Long> shortageSinceMillis = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param settings the shortage and idle periods
	 */
	public SparePlanner(MaintenanceSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Discards the idle and shortage periods at the start of a new term. */
	public void reset() {
		this.lastNeededMillis.clear();
		this.shortageSinceMillis.clear();
	}

	/**
	 * Runs one round.
	 * @param view the current records
	 * @param jobs the index of the jobs of the view
	 * @param nowMillis the time of the round
	 * @return the commands that lend or return hosts
	 */
	public List<Command> plan(FleetView view, JobIndex jobs, long nowMillis) {
		Set<PoolName> sparePools = sparePools(view);
		Map<PoolName, Integer> waiting = waitingByPool(view, sparePools);
		updateShortages(waiting, nowMillis);
		List<Command> commands = new ArrayList<>();
		lend(view, jobs, sparePools, waiting, nowMillis, commands);
		returnIdle(view, jobs, waiting, nowMillis, commands);
		return commands;
	}

	// helpers

	private static Set<PoolName> sparePools(FleetView view) {
		Set<PoolName> names = new HashSet<>();
		for (PoolRecord pool : view.pools()) {
			if (pool.spare()) {
				names.add(pool.name());
			}
		}
		return names;
	}

	private static Map<PoolName, Integer> waitingByPool(FleetView view, Set<PoolName> sparePools) {
		Map<PoolName, Integer> waiting = new HashMap<>();
		for (JobRecord job : view.jobs()) {
			if (job.state() == JobState.WAITING && !sparePools.contains(job.spec().pool())) {
				waiting.merge(job.spec().pool(), 1, Integer::sum);
			}
		}
		return waiting;
	}

	private void updateShortages(Map<PoolName, Integer> waiting, long nowMillis) {
		this.shortageSinceMillis.keySet().retainAll(waiting.keySet());
		waiting.keySet().forEach((pool) -> this.shortageSinceMillis.putIfAbsent(pool, nowMillis));
	}

	private void lend(FleetView view, JobIndex jobs, Set<PoolName> sparePools, Map<PoolName, Integer> waiting,
			long nowMillis, List<Command> commands) {
		// Lends one host per round, so that the effect is known before the next loan.
		Optional<PoolName> neediest = waiting.keySet()
			.stream()
			.filter((pool) -> nowMillis - this.shortageSinceMillis.get(pool) >= this.settings.shortageMillis())
			.max(Comparator.<PoolName>comparingInt(waiting::get).thenComparing(Comparator.reverseOrder()));
		Optional<HostRecord> spare = view.hosts()
			.stream()
			.filter((host) -> sparePools.contains(host.pool()) && isIdle(host, jobs))
			.findFirst();
		if (neediest.isPresent() && spare.isPresent()) {
			HostName host = spare.get().spec().name();
			this.shortageSinceMillis.put(neediest.get(), nowMillis);
			commands.add(new ConfigurationCommand.LendHost(host, neediest.get()));
		}
	}

	private void returnIdle(FleetView view, JobIndex jobs, Map<PoolName, Integer> waiting, long nowMillis,
			List<Command> commands) {
		Set<HostName> lent = new HashSet<>();
		for (HostRecord host : view.hosts()) {
			if (host.homePool().isEmpty()) {
				continue;
			}
			lent.add(host.name());
			boolean needed = !isIdle(host, jobs) || waiting.containsKey(host.pool());
			if (needed || this.lastNeededMillis.putIfAbsent(host.name(), nowMillis) == null) {
				this.lastNeededMillis.put(host.name(), nowMillis);
			}
			else if (nowMillis - this.lastNeededMillis.get(host.name()) >= this.settings.idleMillis()) {
				commands.add(new ConfigurationCommand.ReturnHost(host.name()));
			}
		}
		this.lastNeededMillis.keySet().retainAll(lent);
	}

	private static boolean isIdle(HostRecord host, JobIndex jobs) {
		return host.state() == HostState.IN_SERVICE && jobs.placedOn(host.spec().name()).isEmpty();
	}

}
