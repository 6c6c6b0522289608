package io.burdockpin.core.batch.lead.pool;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.host.HandOverPause;
import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Decides in each round which pools get or release hosts according to demand. A pool that
 * lacks capacity gets hosts from the spare pool first and then idle hosts of other pools;
 * hosts that stay idle return to the spare pool. {@link PoolFigures} says what a pool
 * needs, {@link HostChoice} which host is taken, and {@link HostMoves} carries the moves
 * out. Not thread-safe; owned by the leader.
 */
public final class PoolBalancer {

	/**
	 * Share of all hosts, divided evenly between the pools, that each pool keeps in
	 * reserve besides the capacity used by long-running tasks. In a large fleet a demand
	 * peak needs dozens of hosts, and the platform moves them one at a time.
	 */
	private static final double RESERVE_SHARE = 0.2;

	/**
	 * With more orders waiting, idle hosts are not returned to the spare pool, so that
	 * other pools can take them directly. The platform carries out about this many orders
	 * in one round.
	 */
	private static final int MAXIMUM_WAITING_ORDERS = 9;

	/**
	 * Late jobs get spare hosts only while this share of all hosts remains spare for the
	 * next demand peak: each move takes seconds, and the jobs of that peak can still meet
	 * their objectives.
	 */
	private static final double SPARE_SHARE_FOR_PEAKS = 0.3;

	/**
	 * Share of all hosts that a pool gets at most because of a forecast, which bounds the
	 * cost of a wrong one.
	 */
	private static final double MAXIMUM_EXPECTED_SHARE = 0.4;

	/** Demand changes within tenths of a second. */
	private static final long PERIOD_MILLIS = 150;

	private final BatchState state;

	private final BalanceSettings settings;

	private final PoolDemand demand;

	private final HandOverPause pause;

	private final DemandForecast forecast = new DemandForecast();

	private final HostMoves moves;

	private final HostChoice hosts;

	/**
	 * Pools in which the latest plan found no runner with enough free capacity for a
	 * task.
	 */
	private Set<String> poolsLackingCapacity = Set.of();

	private BalanceFigures figures = BalanceFigures.NONE;

	private long nextRoundMillis;

	private long nextListMillis;

	/**
	 * Creates a balancer.
	 * @param state replicated state
	 * @param settings settings for rebalancing
	 * @param history changes of host orders, including those of earlier leaders
	 * @param fencingToken term of this leader
	 * @param electedMillis monotonic time at which this leader was elected
	 * @param durations estimator for task durations
	 * @param isClosedHost selects hosts in closed data centres, which are neither moved
	 * nor counted as spare
	 */
	public PoolBalancer(BatchState state, BalanceSettings settings, HostOrderHistory history, long fencingToken,
			long electedMillis, DurationEstimator durations, Predicate<String> isClosedHost) {
		this.state = state;
		this.settings = settings;
		this.demand = new PoolDemand(state, durations);
		this.pause = new HandOverPause(history, settings.handOverPauseMillis(), electedMillis);
		this.moves = new HostMoves(state, settings, this.pause, isClosedHost, fencingToken, electedMillis);
		this.hosts = new HostChoice(state, settings, this.moves, isClosedHost);
	}

	/**
	 * Checks whether a host is being moved or its move is proposed.
	 * @param host name of the host
	 * @return {@code true} if the host gets no new tasks
	 */
	public boolean isMoving(String host) {
		return this.moves.isMoving(host);
	}

	/**
	 * Checks whether a host is cordoned, so that it becomes idle for another pool.
	 * @param host name of the host
	 * @return {@code true} if the host gets no new tasks
	 */
	public boolean isCordoned(String host) {
		return this.hosts.isCordoned(host);
	}

	/**
	 * Handles a committed change of a move.
	 * @param host name of the host
	 */
	public void onMoveCommitted(String host) {
		this.moves.onMoveCommitted(host);
	}

	/**
	 * Returns the number of hosts in the spare pool.
	 * @return 0 before the platform's host list has been read
	 */
	public int spareHostCount() {
		return this.hosts.spareHostCount();
	}

	/**
	 * Checks whether the platform's host list has to be read, and schedules the next read
	 * if so.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the caller has to read the list now
	 */
	public boolean startHostListIfDue(long nowMillis) {
		if (sparePool().isEmpty() || nowMillis < this.nextListMillis) {
			return false;
		}
		this.nextListMillis = nowMillis + this.settings.hostListPeriodMillis();
		return true;
	}

	/**
	 * Returns and clears the proposed commands.
	 * @return commands to commit, in order
	 */
	public List<BatchCommand> drainProposals() {
		return this.moves.drainProposals();
	}

	/**
	 * Returns and clears the orders to send.
	 * @return orders to send
	 */
	public List<HostOrder> drainOrders() {
		return this.moves.drainOrders();
	}

	/**
	 * Returns the figures of the latest round.
	 * @return hosts of the pools and expected demand
	 */
	public BalanceFigures figures() {
		return this.figures;
	}

	/**
	 * Handles the platform's host list.
	 * @param entries all hosts of the fleet
	 */
	public void onHostList(List<HostEntry> entries) {
		this.hosts.onHostList(entries, this.state.configuration());
	}

	/**
	 * Handles the latest plan.
	 * @param plan result of the placement round
	 */
	public void onPlan(Plan plan) {
		this.poolsLackingCapacity = plan.poolsLackingCapacity();
		this.hosts.keepForRestarts(plan.runnersForRestarts());
	}

	/**
	 * Handles the reply to an order.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onReply(HostOrder.Move order, HostReply reply, long nowMillis) {
		this.moves.onReply(order, reply, nowMillis);
	}

	/**
	 * Advances the moves and makes the decisions that are due.
	 * @param sessions sessions with the runners
	 * @param isReserved selects hosts that must not be moved
	 * @param waitingOrders number of host orders that wait to be sent
	 * @param nowMillis current monotonic time, in milliseconds
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 */
	public void tick(Map<RunnerKey, RunnerSession> sessions, Predicate<String> isReserved, int waitingOrders,
			long nowMillis, long wallMillis) {
		if (nowMillis < this.nextRoundMillis || this.state.configuration().isEmpty()) {
			return;
		}
		this.nextRoundMillis = nowMillis + PERIOD_MILLIS;
		FleetConfiguration configuration = this.state.configuration().get();
		this.demand.observe(configuration, this.settings.lookAheadMillis(), nowMillis, wallMillis);
		List<String> poweredOff = this.moves.advance(sessions, nowMillis);
		sparePool().ifPresent((spare) -> poweredOff.forEach((host) -> this.hosts.onPoweredOff(host, spare)));
		Predicate<String> mustStay = (host) -> isReserved.test(host) || !this.pause.hasElapsed(host, nowMillis);
		Map<String, PoolFigures> pools = pools(configuration, sessions, mustStay, nowMillis);
		expectDemand(pools, nowMillis);
		List<PoolFigures> working = pools.values().stream().filter((pool) -> !pool.spare()).toList();
		this.figures = figures(working);
		working.forEach((pool) -> grow(pool, pools, nowMillis));
		double missingHosts = working.stream().mapToDouble(PoolFigures::missingHosts).sum();
		this.hosts.cordon(missingHosts, working, sessions, mustStay, nowMillis);
		if (missingHosts == 0) {
			working.forEach((pool) -> growForLateJobs(pool, pools, nowMillis));
		}
		sparePool().ifPresent((spare) -> shrink(working, spare, MAXIMUM_WAITING_ORDERS - waitingOrders, nowMillis));
	}

	private BalanceFigures figures(List<PoolFigures> working) {
		int hosts = working.stream().mapToInt((pool) -> pool.hosts() - pool.arriving()).sum();
		int idleHosts = working.stream().mapToInt((pool) -> pool.idle().size()).sum();
		double expectedHosts = working.stream().mapToDouble(PoolFigures::expectedHosts).sum();
		return new BalanceFigures(hosts, idleHosts, this.state.moves().size(), expectedHosts,
				this.forecast.periodMillis());
	}

	private Optional<String> sparePool() {
		return this.state.configuration()
			.flatMap((configuration) -> configuration.pools().stream().filter(BatchPool::spare).findFirst())
			.map(BatchPool::name);
	}

	private Map<String, PoolFigures> pools(FleetConfiguration configuration, Map<RunnerKey, RunnerSession> sessions,
			Predicate<String> mustStay, long nowMillis) {
		double reserveHosts = RESERVE_SHARE * (sessions.size() + this.hosts.spareHostCount())
				/ configuration.pools().size();
		Map<String, PoolFigures> pools = new LinkedHashMap<>();
		configuration.pools()
			.forEach((pool) -> pools.put(pool.name(), new PoolFigures(pool.name(), pool.spare(), reserveHosts)));
		sessions.values().forEach((session) -> {
			RunnerRecord runner = session.runner();
			String host = runner.hostOrId();
			PoolFigures pool = pools.get(runner.pool());
			if (pool == null || !session.isUsable(nowMillis) || isMoving(host)) {
				return;
			}
			pool.addHost(runner, this.state.runs().longRunningOn(runner.key()));
			boolean isIdle = this.state.runs().on(runner.key()).isEmpty() && !mustStay.test(host);
			this.hosts.observe(runner, isIdle, nowMillis);
			if (isIdle) {
				pool.addIdle(runner);
			}
		});
		// A pool that has lost all its hosts uses the host size of another pool.
		pools.values()
			.stream()
			.map(PoolFigures::typicalHost)
			.filter((host) -> host != PoolDemand.ResourceAmount.NONE)
			.findFirst()
			.ifPresent((host) -> pools.values().forEach((pool) -> pool.setDemand(host, this.demand)));
		this.state.moves()
			.values()
			.stream()
			.map((move) -> pools.get(move.pool()))
			.filter((pool) -> pool != null && !pool.spare())
			.forEach(PoolFigures::addArriving);
		return pools;
	}

	private void expectDemand(Map<String, PoolFigures> pools, long nowMillis) {
		this.forecast.advance(nowMillis);
		this.demand.arrivals()
			.forEach((arrival) -> Optional.ofNullable(pools.get(arrival.pool()))
				.filter((pool) -> pool.typicalHost() != PoolDemand.ResourceAmount.NONE)
				.ifPresent((pool) -> this.forecast.add(pool.name(), arrival.readyMillis(), arrival.durationMillis(),
						arrival.amount().hostCount(pool.typicalHost()))));
		this.forecast.update(nowMillis);
		double mostHosts = MAXIMUM_EXPECTED_SHARE
				* (pools.values().stream().mapToInt(PoolFigures::hosts).sum() + this.hosts.spareHostCount());
		pools.values()
			.forEach((pool) -> pool.setExpected(
					this.forecast.expected(pool.name(), nowMillis, this.settings.lookAheadMillis(), mostHosts)));
	}

	private void grow(PoolFigures pool, Map<String, PoolFigures> pools, long nowMillis) {
		// With a forecast it is known that the pool of an idle host needs it later.
		long leavingMillis = this.forecast.periodMillis().isPresent() ? 0 : this.settings.idleTimeoutMillis();
		while (pool.lacksHosts() || (this.poolsLackingCapacity.contains(pool.name()) && pool.arriving() == 0)) {
			// A host that is about to return to the spare pool comes first: it would
			// need an order to leave, and orders are limited.
			Optional<String> host = takeIdleFromOtherPool(pool, pools, leavingMillis, nowMillis)
				.or(() -> this.hosts.takeSpare(pool, nowMillis))
				.or(() -> takeIdleFromOtherPool(pool, pools, 0, nowMillis));
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			this.moves.propose(host.get(), pool.name());
		}
	}

	private void growForLateJobs(PoolFigures pool, Map<String, PoolFigures> pools, long nowMillis) {
		int count = pools.values().stream().mapToInt(PoolFigures::hosts).sum() + this.hosts.spareHostCount();
		while (pool.lacksHostsWithLateJobs() && this.hosts.spareHostCount() > SPARE_SHARE_FOR_PEAKS * count) {
			Optional<String> host = this.hosts.takeSpare(pool, nowMillis);
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			this.moves.propose(host.get(), pool.name());
		}
	}

	private Optional<String> takeIdleFromOtherPool(PoolFigures target, Map<String, PoolFigures> pools, long idleMillis,
			long nowMillis) {
		return pools.values()
			.stream()
			.filter((pool) -> pool != target && pool.canReleaseHost()
					&& !this.poolsLackingCapacity.contains(pool.name()))
			.max(Comparator.comparingDouble(PoolFigures::surplusHosts))
			.flatMap((pool) -> this.hosts.takeIdle(pool, idleMillis, nowMillis));
	}

	// The pool with the largest surplus comes first.
	private void shrink(List<PoolFigures> working, String sparePool, int mostHosts, long nowMillis) {
		int returned = 0;
		for (PoolFigures pool : working.stream()
			.sorted(Comparator.comparingDouble(PoolFigures::surplusHosts).reversed())
			.toList()) {
			while (returned < mostHosts && pool.canReleaseHostWithLateJobs()
					&& !this.poolsLackingCapacity.contains(pool.name())) {
				Optional<String> host = this.hosts.takeIdle(pool, this.settings.idleTimeoutMillis(), nowMillis);
				if (host.isEmpty()) {
					break;
				}
				returned++;
				this.moves.propose(host.get(), sparePool);
			}
		}
	}

}
