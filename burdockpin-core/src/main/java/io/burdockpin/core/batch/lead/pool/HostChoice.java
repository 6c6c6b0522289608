package io.burdockpin.core.batch.lead.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Chooses the hosts that are moved or cordoned. Only a host without runs is moved, so a
 * busy host is cordoned first. Handles demand peaks that begin while late jobs of other
 * pools hold hosts. Not thread-safe; owned by the leader.
 */
final class HostChoice {

	/**
	 * Most of a pool continues with its late jobs, which must be completed too, while the
	 * rest becomes idle.
	 */
	private static final double MAXIMUM_CORDONED_SHARE = 0.4;

	private final BatchState state;

	private final BalanceSettings settings;

	private final HostMoves moves;

	/** Selects hosts in closed data centres. */
	private final Predicate<String> isClosedHost;

	private final Map<String, HostEntry> spareHosts = new LinkedHashMap<>();

	private final Map<String, Long> idleSinceMillis = new HashMap<>();

	/** Racks of the hosts that had a runner; the platform's host list has no racks. */
	private final Map<String, String> rackOfHost = new HashMap<>();

	/** Busy hosts that get no new tasks, so that they become idle for another pool. */
	private Set<String> cordonedHosts = Set.of();

	/** Runners that are kept for tasks which maintenance is about to stop. */
	private Set<RunnerKey> runnersForRestarts = Set.of();

	/**
	 * Creates an instance without spare hosts.
	 * @param state replicated state
	 * @param settings settings for rebalancing
	 * @param moves moves under way
	 * @param isClosedHost selects hosts in closed data centres, which are not spare
	 */
	HostChoice(BatchState state, BalanceSettings settings, HostMoves moves, Predicate<String> isClosedHost) {
		this.state = state;
		this.settings = settings;
		this.moves = moves;
		this.isClosedHost = isClosedHost;
	}

	boolean isCordoned(String host) {
		return this.cordonedHosts.contains(host);
	}

	int spareHostCount() {
		return this.spareHosts.size();
	}

	/**
	 * Handles the platform's host list.
	 * @param hosts all hosts of the fleet
	 * @param configuration configuration of the pools
	 */
	void onHostList(List<HostEntry> hosts, Optional<FleetConfiguration> configuration) {
		this.spareHosts.clear();
		hosts.stream()
			.filter((entry) -> entry.up()
					&& configuration.flatMap((known) -> known.pool(entry.pool())).filter(BatchPool::spare).isPresent())
			.filter((entry) -> !this.isClosedHost.test(entry.host()))
			.forEach((entry) -> this.spareHosts.put(entry.host(), entry));
	}

	/**
	 * Handles the arrival of a host in the spare pool.
	 * @param host name of the host
	 * @param pool name of the spare pool
	 */
	void onPoweredOff(String host, String pool) {
		this.spareHosts.put(host, new HostEntry(host, pool, true));
	}

	/**
	 * Sets the runners that must not be moved.
	 * @param runners runners that are kept for tasks which maintenance is about to stop
	 */
	void keepForRestarts(Set<RunnerKey> runners) {
		this.runnersForRestarts = runners;
	}

	/**
	 * Records whether a host is idle in this round.
	 * @param runner runner on the host
	 * @param isIdle whether the host runs nothing and may be moved
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	void observe(RunnerRecord runner, boolean isIdle, long nowMillis) {
		String host = runner.hostOrId();
		runner.rack().ifPresent((rack) -> this.rackOfHost.put(host, rack));
		if (isIdle) {
			this.idleSinceMillis.putIfAbsent(host, nowMillis);
		}
		else {
			this.idleSinceMillis.remove(host);
		}
	}

	/**
	 * Takes a host of the spare pool, if possible from a rack with few hosts of the pool
	 * that gets it: racks are lost as a whole.
	 * @param target figures of the pool that gets the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return name of the host; empty if none may be moved
	 */
	Optional<String> takeSpare(PoolFigures target, long nowMillis) {
		Optional<String> host = this.spareHosts.keySet()
			.stream()
			.filter((name) -> this.moves.canBegin(name, nowMillis))
			.filter((name) -> !this.isClosedHost.test(name))
			// The list may be older than the latest move of the host. A host with a
			// registered runner must not be treated as spare, since the move would end
			// its runs.
			.filter((name) -> this.state.runnerOn(name).isEmpty())
			.filter((name) -> this.moves.hasStayed(name, nowMillis))
			.min(Comparator.comparingInt((name) -> target.hostsInRack(this.rackOfHost.getOrDefault(name, ""))));
		host.ifPresent(this.spareHosts::remove);
		return host;
	}

	/**
	 * Takes an idle host of a pool, from the rack with most hosts of the pool.
	 * @param pool figures of the pool, which lose the host
	 * @param idleMillis time for which the host must have been idle
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return name of the host; empty if none may be moved
	 */
	Optional<String> takeIdle(PoolFigures pool, long idleMillis, long nowMillis) {
		Optional<RunnerRecord> taken = pool.idle()
			.stream()
			.filter((runner) -> this.moves.hasStayed(runner.hostOrId(), nowMillis))
			.filter((runner) -> nowMillis
					- this.idleSinceMillis.getOrDefault(runner.hostOrId(), nowMillis) >= idleMillis)
			.filter((runner) -> this.moves.isRetryDue(runner.hostOrId(), nowMillis))
			.filter((runner) -> !this.runnersForRestarts.contains(runner.key()))
			.min(Comparator.comparingInt((runner) -> -pool.hostsInRack(runner.rack().orElse(""))));
		taken.ifPresent(pool::removeHost);
		return taken.map(RunnerRecord::hostOrId);
	}

	/**
	 * Cordons busy hosts of pools with a surplus. Cordoned hosts become idle and can then
	 * be moved, so that late jobs do not hold hosts that jobs of other pools need to meet
	 * their objectives.
	 * @param missingHosts number of hosts that pools lack; with 0 nothing is cordoned
	 * @param pools figures of the pools
	 * @param sessions sessions with the runners
	 * @param mustStay selects hosts that must not be moved
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	void cordon(double missingHosts, Collection<PoolFigures> pools, Map<RunnerKey, RunnerSession> sessions,
			Predicate<String> mustStay, long nowMillis) {
		if (missingHosts == 0) {
			this.cordonedHosts = Set.of();
			return;
		}
		Set<String> chosen = new HashSet<>();
		for (PoolFigures pool : pools) {
			double mostHosts = Math.min(pool.surplusBeyondRetention(), MAXIMUM_CORDONED_SHARE * pool.hosts());
			sessions.values()
				.stream()
				.map(RunnerSession::runner)
				.filter((runner) -> runner.pool().equals(pool.name()) && canBeCordoned(runner, nowMillis))
				.filter((runner) -> !mustStay.test(runner.hostOrId()))
				.sorted(Comparator.<RunnerRecord, Boolean>comparing((runner) -> !isCordoned(runner.hostOrId()))
					.thenComparingInt((runner) -> this.state.runs().reservedOn(runner.key()).cpuMillicores()))
				.limit((long) Math.min(mostHosts, Math.ceil(missingHosts - chosen.size())))
				.forEach((runner) -> chosen.add(runner.hostOrId()));
		}
		this.cordonedHosts = chosen;
	}

	private boolean canBeCordoned(RunnerRecord runner, long nowMillis) {
		boolean isBusy = !this.state.runs().on(runner.key()).isEmpty();
		return (isBusy || isCordoned(runner.hostOrId())) && !this.moves.isMoving(runner.hostOrId())
				&& !this.state.runs().hasLongRunning(runner.key())
				&& this.moves.hasStayed(runner.hostOrId(), nowMillis);
	}

}
