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
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;

/**
 * Lends idle hosts of spare pools to pools whose jobs wait for room, and returns them
 * once they are idle there. Mutable, owned by one actor.
 * <p>
 * The records do not say where a lent host came from. A new leader therefore leaves hosts
 * that its predecessor lent where they are, until an operator moves them.
 */
public final class SparePlanner {

	private final MaintenanceSettings settings;

	private final Map<HostName, Loan> loans = new HashMap<>();

	private final Map<PoolName, Long> shortSinceMillis = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param settings the settings
	 */
	public SparePlanner(MaintenanceSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Forgets all loans, as a new leader does. */
	public void restart() {
		this.loans.clear();
		this.shortSinceMillis.clear();
	}

	/**
	 * Decides one round.
	 * @param view the current records
	 * @param jobs the jobs of the view
	 * @param nowMillis the time of the round
	 * @return the moves to propose
	 */
	public List<Command> plan(FleetView view, JobIndex jobs, long nowMillis) {
		Set<PoolName> sparePools = sparePools(view);
		Map<PoolName, Integer> waiting = waitingByPool(view, sparePools);
		noteShortages(waiting, nowMillis);
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

	private void noteShortages(Map<PoolName, Integer> waiting, long nowMillis) {
		this.shortSinceMillis.keySet().retainAll(waiting.keySet());
		waiting.keySet().forEach((pool) -> this.shortSinceMillis.putIfAbsent(pool, nowMillis));
	}

	private void lend(FleetView view, JobIndex jobs, Set<PoolName> sparePools, Map<PoolName, Integer> waiting,
			long nowMillis, List<Command> commands) {
		// One loan a round lets the effect of each show before the next.
		Optional<PoolName> neediest = waiting.keySet()
			.stream()
			.filter((pool) -> nowMillis - this.shortSinceMillis.get(pool) >= this.settings.shortageMillis())
			.max(Comparator.<PoolName>comparingInt(waiting::get).thenComparing(Comparator.reverseOrder()));
		Optional<HostRecord> spare = view.hosts()
			.stream()
			.filter((host) -> sparePools.contains(host.pool()) && isIdle(host, jobs))
			.findFirst();
		if (neediest.isPresent() && spare.isPresent()) {
			HostName host = spare.get().spec().name();
			this.loans.put(host, new Loan(spare.get().pool(), nowMillis));
			this.shortSinceMillis.put(neediest.get(), nowMillis);
			commands.addAll(move(host, neediest.get()));
		}
	}

	private void returnIdle(FleetView view, JobIndex jobs, Map<PoolName, Integer> waiting, long nowMillis,
			List<Command> commands) {
		for (HostRecord host : view.hosts()) {
			Loan loan = this.loans.get(host.spec().name());
			if (loan == null || loan.home().equals(host.pool())) {
				continue;
			}
			if (!isIdle(host, jobs) || waiting.containsKey(host.pool())) {
				this.loans.put(host.spec().name(), new Loan(loan.home(), nowMillis));
			}
			else if (nowMillis - loan.busyMillis() >= this.settings.idleMillis()) {
				commands.addAll(move(host.spec().name(), loan.home()));
			}
		}
	}

	private static List<Command> move(HostName host, PoolName pool) {
		// A host moves only while it takes no jobs. If one of the steps is rejected, the
		// last one returns the host to service where it is.
		return List.of(state(host, HostState.DRAINING), new ConfigurationCommand.MoveHost(host, pool, false),
				state(host, HostState.IN_SERVICE));
	}

	private static Command state(HostName host, HostState state) {
		return new ConfigurationCommand.SetHostState(host, state, ChangeCause.PLANNER);
	}

	private static boolean isIdle(HostRecord host, JobIndex jobs) {
		return host.state() == HostState.IN_SERVICE && jobs.placedOn(host.spec().name()).isEmpty();
	}

	/**
	 * A lent host.
	 *
	 * @param home the spare pool it came from
	 * @param busyMillis when it was last needed
	 */
	private record Loan(PoolName home, long busyMillis) {
	}

}
