package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
import io.burdockpin.core.batch.lead.host.HostOrderTracker;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Resources;

/**
 * Moves hosts between pools according to demand. A pool that lacks capacity gets hosts
 * from the spare pool first and then idle hosts of other pools; hosts that stay idle
 * return to the spare pool. Only hosts without runs are moved. Not thread-safe; owned by
 * the leader.
 */
public final class PoolBalancer {

	/**
	 * Factor by which a pool grows beyond its demand, since tasks do not fill hosts
	 * completely.
	 */
	private static final double HEADROOM = 1.15;

	/** Factor of its demand that a pool keeps before it releases idle hosts. */
	private static final double RETENTION_FACTOR = 1.4;

	/** Kept for the first jobs of a demand peak. */
	private static final int MINIMUM_HOSTS = 2;

	/**
	 * Share of all hosts, divided evenly between the pools, that each pool keeps in
	 * reserve besides the capacity used by long-running tasks. In a large fleet a demand
	 * peak needs dozens of hosts, and the platform moves them one at a time.
	 */
	private static final double RESERVE_SHARE = 0.2;

	/**
	 * With more orders waiting, idle hosts are not returned to the spare pool, so that
	 * other pools can take them directly. The platform carries out about this many orders
	 * in 100 ms.
	 */
	private static final int MAXIMUM_WAITING_ORDERS = 6;

	/**
	 * Late jobs get spare hosts only while this share of all hosts remains spare for the
	 * next demand peak: each move takes seconds, and the jobs of that peak can still meet
	 * their objectives.
	 */
	private static final double SPARE_SHARE_FOR_PEAKS = 0.3;

	/**
	 * Most of a pool continues with its late jobs, which must be completed too, while the
	 * rest becomes idle.
	 */
	private static final double MAXIMUM_CORDONED_SHARE = 0.4;

	/** Demand changes within tenths of a second. */
	private static final long PERIOD_MILLIS = 150;

	private final BatchState state;

	private final BalanceSettings settings;

	private final long fencingToken;

	private final long electedMillis;

	private final PoolDemand demand;

	/** Selects hosts in closed data centres. */
	private final Predicate<String> isClosedHost;

	private final HandOverPause pause;

	private final HostOrderTracker orders;

	private final Map<String, HostEntry> spareHosts = new LinkedHashMap<>();

	private final Map<String, Long> idleSinceMillis = new HashMap<>();

	private final Map<String, Long> movedMillis = new HashMap<>();

	/** Hosts with a proposed move that is not committed yet. */
	private final Set<String> proposedHosts = new HashSet<>();

	private final List<BatchCommand> proposals = new ArrayList<>();

	/** Busy hosts that get no new tasks, so that they become idle for another pool. */
	private Set<String> cordonedHosts = Set.of();

	/**
	 * Pools in which the latest plan found no runner with enough free capacity for a
	 * task.
	 */
	private Set<String> poolsLackingCapacity = Set.of();

	/** Runners that are kept for tasks which maintenance is about to stop. */
	private Set<RunnerKey> runnersForRestarts = Set.of();

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
		this.fencingToken = fencingToken;
		this.electedMillis = electedMillis;
		this.demand = new PoolDemand(state, durations);
		this.isClosedHost = isClosedHost;
		this.pause = new HandOverPause(history, settings.handOverPauseMillis(), electedMillis);
		this.orders = new HostOrderTracker(this.pause, settings.retryMillis());
	}

	/**
	 * Checks whether a host is being moved or its move is proposed.
	 * @param host name of the host
	 * @return {@code true} if the host gets no new tasks
	 */
	public boolean isMoving(String host) {
		return this.state.moves().containsKey(host) || this.proposedHosts.contains(host);
	}

	/**
	 * Checks whether a host is cordoned, so that it becomes idle for another pool.
	 * @param host name of the host
	 * @return {@code true} if the host gets no new tasks
	 */
	public boolean isCordoned(String host) {
		return this.cordonedHosts.contains(host);
	}

	/**
	 * Handles a committed change of a move.
	 * @param host name of the host
	 */
	public void onMoveCommitted(String host) {
		this.proposedHosts.remove(host);
	}

	/**
	 * Returns the number of hosts in the spare pool.
	 * @return 0 before the platform's host list has been read
	 */
	public int spareHostCount() {
		return this.spareHosts.size();
	}

	/**
	 * Checks whether the platform's host list has to be read, and schedules the next read
	 * if so.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the caller has to read the list now
	 */
	public boolean startHostListIfDue(long nowMillis) {
		boolean hasSparePool = this.state.configuration()
			.filter((configuration) -> configuration.pools().stream().anyMatch(BatchPool::spare))
			.isPresent();
		if (!hasSparePool || nowMillis < this.nextListMillis) {
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
		List<BatchCommand> drained = List.copyOf(this.proposals);
		this.proposals.clear();
		return drained;
	}

	/**
	 * Returns and clears the orders to send.
	 * @return orders to send
	 */
	public List<HostOrder> drainOrders() {
		return this.orders.drainOrders();
	}

	/**
	 * Handles the platform's host list.
	 * @param hosts all hosts of the fleet
	 */
	public void onHostList(List<HostEntry> hosts) {
		this.spareHosts.clear();
		this.state.configuration()
			.ifPresent((configuration) -> hosts.stream()
				.filter((entry) -> entry.up() && isSpare(configuration, entry.pool()))
				.filter((entry) -> !this.isClosedHost.test(entry.host()))
				.forEach((entry) -> this.spareHosts.put(entry.host(), entry)));
	}

	/**
	 * Handles the latest plan.
	 * @param plan result of the placement round
	 */
	public void onPlan(Plan plan) {
		this.poolsLackingCapacity = plan.poolsLackingCapacity();
		this.runnersForRestarts = plan.runnersForRestarts();
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
		this.state.moves().values().forEach((move) -> advance(move, sessions, nowMillis));
		Predicate<String> mustStay = (host) -> isReserved.test(host) || !this.pause.hasElapsed(host, nowMillis);
		Map<String, Pool> pools = pools(configuration, sessions, mustStay, nowMillis);
		List<Pool> working = pools.values().stream().filter((pool) -> !pool.spare).toList();
		working.forEach((pool) -> grow(pool, pools, nowMillis));
		double missingHosts = working.stream().mapToDouble(Pool::missingHosts).sum();
		this.cordonedHosts = chooseHostsToCordon(missingHosts, working, sessions, mustStay, nowMillis);
		if (missingHosts == 0) {
			working.forEach((pool) -> growForLateJobs(pool, pools, nowMillis));
		}
		if (waitingOrders > MAXIMUM_WAITING_ORDERS) {
			return;
		}
		configuration.pools()
			.stream()
			.filter(BatchPool::spare)
			.findFirst()
			.ifPresent((spare) -> working.forEach((pool) -> shrink(pool, spare.name(), nowMillis)));
	}

	/**
	 * Handles the reply to an order.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onReply(HostOrder.Move order, HostReply reply, long nowMillis) {
		this.orders.onReply(order.host(), reply, nowMillis);
		switch (reply) {
			case DONE -> {
				this.movedMillis.put(order.host(), nowMillis);
				// The move ended the runner, so the leader stops contacting it.
				Optional.ofNullable(this.state.moves().get(order.host()))
					.filter((move) -> move.pool().equals(order.pool()))
					.flatMap(HostMove::lifeBefore)
					.ifPresent((incarnation) -> this.proposals.add(new BatchCommand.RemoveRunner(incarnation)));
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.BEGUN));
			}
			case HOST_NOT_UP, UNKNOWN_HOST ->
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.OVER));
			default -> {
				// The order may have been carried out, so it is sent again.
			}
		}
	}

	private void advance(HostMove move, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		if (!move.begun() && (canCancel(move, nowMillis) || isWithdrawn(move))) {
			// A task was assigned to the host before the move was committed, or its data
			// centre was closed.
			finish(move);
		}
		else if (!move.begun()) {
			this.orders.sendIfDue(new HostOrder.Move(this.fencingToken, move.host(), move.pool()), nowMillis);
		}
		else if (isToSparePool(move) && hasBegunLongerAgoThan(move, this.settings.lookAheadMillis(), nowMillis)) {
			finish(move);
			this.movedMillis.remove(move.host());
			this.spareHosts.put(move.host(), new HostEntry(move.host(), move.pool(), true));
		}
		else if (!isToSparePool(move) && hasArrived(move, sessions, nowMillis)) {
			finish(move);
		}
	}

	// A host in the spare pool is powered off, so no runner announces its arrival.
	private boolean isToSparePool(HostMove move) {
		return this.state.configuration().filter((configuration) -> isSpare(configuration, move.pool())).isPresent();
	}

	private boolean hasBegunLongerAgoThan(HostMove move, long millis, long nowMillis) {
		return nowMillis - this.movedMillis.getOrDefault(move.host(), this.electedMillis) > millis;
	}

	// An earlier leader may have sent its order just before the election.
	private boolean canCancel(HostMove move, long nowMillis) {
		return !this.orders.isSent(move.host()) && this.orders.canResend(move.host(), nowMillis)
				&& move.lifeBefore().filter((incarnation) -> !this.state.runs().on(incarnation).isEmpty()).isPresent();
	}

	private boolean isWithdrawn(HostMove move) {
		return this.isClosedHost.test(move.host()) && !this.orders.isInFlight(move.host());
	}

	private void finish(HostMove move) {
		if (this.proposedHosts.add(move.host())) {
			this.proposals.add(new BatchCommand.SetMove(move.host(), move.pool(), MovePhase.OVER));
		}
	}

	private boolean hasArrived(HostMove move, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		Optional<RunnerRecord> runner = this.state.runnerOn(move.host())
			.filter((known) -> known.pool().equals(move.pool()));
		boolean isOverdue = hasBegunLongerAgoThan(move, 4L * this.settings.lookAheadMillis(), nowMillis);
		return isOverdue || runner.map((known) -> sessions.get(known.key()))
			.filter((session) -> session.isResponsive(nowMillis))
			.isPresent();
	}

	private Map<String, Pool> pools(FleetConfiguration configuration, Map<RunnerKey, RunnerSession> sessions,
			Predicate<String> isReserved, long nowMillis) {
		int hosts = sessions.size() + this.spareHosts.size();
		double reserveHosts = RESERVE_SHARE * hosts / configuration.pools().size();
		Map<String, Pool> pools = new LinkedHashMap<>();
		configuration.pools()
			.forEach((pool) -> pools.put(pool.name(), new Pool(pool.name(), pool.spare(), reserveHosts)));
		sessions.values().forEach((session) -> {
			RunnerRecord runner = session.runner();
			Pool pool = pools.get(runner.pool());
			if (pool == null || !session.isUsable(nowMillis) || isMoving(runner.hostOrId())) {
				return;
			}
			pool.addHost(runner.capacity(), this.state.runs().longRunningOn(runner.key()));
			boolean isIdle = this.state.runs().on(runner.key()).isEmpty() && !isReserved.test(runner.hostOrId());
			if (isIdle) {
				this.idleSinceMillis.putIfAbsent(runner.hostOrId(), nowMillis);
				pool.idle.add(runner);
			}
			else {
				this.idleSinceMillis.remove(runner.hostOrId());
			}
		});
		// A pool that has lost all its hosts uses the host size of another pool.
		pools.values()
			.stream()
			.map((pool) -> pool.typicalHost)
			.filter((host) -> host != PoolDemand.ResourceAmount.NONE)
			.findFirst()
			.ifPresent((host) -> pools.values().forEach((pool) -> {
				pool.setTypicalHostIfUnknown(host);
				pool.requiredHosts = this.demand.requiredHosts(pool.name, pool.typicalHost,
						this.settings.lookAheadMillis());
				pool.lateHosts = this.demand.lateHosts(pool.name, pool.typicalHost);
				pool.servingHosts = this.demand.servingHosts(pool.name, pool.typicalHost);
			}));
		this.state.moves()
			.values()
			.stream()
			.map((move) -> pools.get(move.pool()))
			.filter((pool) -> pool != null && !pool.spare)
			.forEach(Pool::addArriving);
		return pools;
	}

	private void grow(Pool pool, Map<String, Pool> pools, long nowMillis) {
		while (pool.lacksHosts() || (this.poolsLackingCapacity.contains(pool.name) && pool.arriving == 0)) {
			Optional<String> host = takeSpare(nowMillis).or(() -> takeIdleFromOtherPool(pool, pools, nowMillis));
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			order(host.get(), pool.name);
		}
	}

	private void growForLateJobs(Pool pool, Map<String, Pool> pools, long nowMillis) {
		int hosts = pools.values().stream().mapToInt((known) -> known.hosts).sum() + this.spareHosts.size();
		while (pool.lacksHostsWithLateJobs() && this.spareHosts.size() > SPARE_SHARE_FOR_PEAKS * hosts) {
			Optional<String> host = takeSpare(nowMillis);
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			order(host.get(), pool.name);
		}
	}

	// Cordoned hosts become idle and can then be moved, so that late jobs do not hold
	// hosts that jobs of other pools need to meet their objectives.
	private Set<String> chooseHostsToCordon(double missingHosts, List<Pool> working,
			Map<RunnerKey, RunnerSession> sessions, Predicate<String> mustStay, long nowMillis) {
		if (missingHosts == 0) {
			return Set.of();
		}
		Set<String> chosen = new HashSet<>();
		for (Pool pool : working) {
			double mostHosts = Math.min(pool.surplusBeyondRetention(), MAXIMUM_CORDONED_SHARE * pool.hosts);
			sessions.values()
				.stream()
				.map(RunnerSession::runner)
				.filter((runner) -> runner.pool().equals(pool.name) && canBeCordoned(runner, nowMillis))
				.filter((runner) -> !mustStay.test(runner.hostOrId()))
				.sorted(Comparator.<RunnerRecord, Boolean>comparing((runner) -> !isCordoned(runner.hostOrId()))
					.thenComparingInt((runner) -> this.state.runs().reservedOn(runner.key()).cpuMillicores()))
				.limit((long) Math.min(mostHosts, Math.ceil(missingHosts - chosen.size())))
				.forEach((runner) -> chosen.add(runner.hostOrId()));
		}
		return chosen;
	}

	private boolean canBeCordoned(RunnerRecord runner, long nowMillis) {
		boolean isBusy = !this.state.runs().on(runner.key()).isEmpty();
		return (isBusy || isCordoned(runner.hostOrId())) && !isMoving(runner.hostOrId())
				&& !this.state.runs().hasLongRunning(runner.key()) && nowMillis
						- this.movedMillis.getOrDefault(runner.hostOrId(), 0L) >= this.settings.minimumStayMillis();
	}

	private void order(String host, String pool) {
		this.proposedHosts.add(host);
		this.orders.begin(host);
		this.proposals.add(new BatchCommand.SetMove(host, pool, MovePhase.ORDERED));
	}

	private Optional<String> takeSpare(long nowMillis) {
		Optional<String> host = this.spareHosts.keySet()
			.stream()
			.filter((name) -> !isMoving(name) && this.orders.canBegin(name, nowMillis))
			.filter((name) -> !this.isClosedHost.test(name))
			// The list may be older than the latest move of the host. A host with a
			// registered runner must not be treated as spare, since the move would end
			// its runs.
			.filter((name) -> this.state.runnerOn(name).isEmpty())
			.filter((name) -> nowMillis - this.movedMillis.getOrDefault(name, Long.MIN_VALUE / 2) >= this.settings
				.minimumStayMillis())
			.findFirst();
		host.ifPresent(this.spareHosts::remove);
		return host;
	}

	private Optional<String> takeIdleFromOtherPool(Pool target, Map<String, Pool> pools, long nowMillis) {
		return pools.values()
			.stream()
			.filter((pool) -> pool != target && pool.canReleaseHost() && !this.poolsLackingCapacity.contains(pool.name))
			.max(Comparator.comparingDouble(Pool::surplusHosts))
			.flatMap((pool) -> takeIdleHost(pool, this.settings.minimumStayMillis(), 0, nowMillis));
	}

	private void shrink(Pool pool, String sparePool, long nowMillis) {
		while (pool.canReleaseHostWithLateJobs() && !this.poolsLackingCapacity.contains(pool.name)) {
			Optional<String> host = takeIdleHost(pool, this.settings.minimumStayMillis(),
					this.settings.idleTimeoutMillis(), nowMillis);
			if (host.isEmpty()) {
				return;
			}
			order(host.get(), sparePool);
		}
	}

	private Optional<String> takeIdleHost(Pool pool, long stayMillis, long idleMillis, long nowMillis) {
		Optional<RunnerRecord> taken = pool.idle.stream()
			.filter((runner) -> nowMillis - this.movedMillis.getOrDefault(runner.hostOrId(), 0L) >= stayMillis)
			.filter((runner) -> nowMillis
					- this.idleSinceMillis.getOrDefault(runner.hostOrId(), nowMillis) >= idleMillis)
			.filter((runner) -> this.orders.isRetryDue(runner.hostOrId(), nowMillis))
			.filter((runner) -> !this.runnersForRestarts.contains(runner.key()))
			.findFirst();
		taken.ifPresent((runner) -> pool.removeHost(runner));
		return taken.map(RunnerRecord::hostOrId);
	}

	private static boolean isSpare(FleetConfiguration configuration, String pool) {
		return configuration.pool(pool).filter(BatchPool::spare).isPresent();
	}

	/** Figures of a pool in one round. Not thread-safe. */
	private static final class Pool {

		private final String name;

		private final boolean spare;

		private final double reserveHosts;

		private final List<RunnerRecord> idle = new ArrayList<>();

		private PoolDemand.ResourceAmount typicalHost = PoolDemand.ResourceAmount.NONE;

		/** Hosts required by finite tasks of jobs that can still meet their objective. */
		private double requiredHosts;

		/** Hosts required by tasks of late jobs. */
		private double lateHosts;

		/** Hosts required by waiting long-running tasks. */
		private int servingHosts;

		private int hosts;

		/** Capacity not used by long-running tasks, in hosts. */
		private double usableHosts;

		private int arriving;

		private Pool(String name, boolean spare, double reserveHosts) {
			this.name = name;
			this.spare = spare;
			this.reserveHosts = reserveHosts;
		}

		private void addHost(Resources capacity, Resources longRunning) {
			this.typicalHost = new PoolDemand.ResourceAmount(capacity.cpuMillicores(), capacity.memoryMebibytes());
			PoolDemand.ResourceAmount taken = new PoolDemand.ResourceAmount(longRunning.cpuMillicores(),
					longRunning.memoryMebibytes());
			this.usableHosts += 1 - taken.hostCount(this.typicalHost);
			this.hosts++;
		}

		private void setTypicalHostIfUnknown(PoolDemand.ResourceAmount host) {
			this.typicalHost = (this.typicalHost != PoolDemand.ResourceAmount.NONE) ? this.typicalHost : host;
		}

		private void addArriving() {
			this.arriving++;
			this.usableHosts++;
			this.hosts++;
		}

		private void removeHost(RunnerRecord runner) {
			this.idle.remove(runner);
			this.usableHosts--;
			this.hosts--;
		}

		private boolean lacksHosts() {
			// Without a known host size it is not known how much capacity a host adds.
			return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsNeeded(HEADROOM) > this.usableHosts;
		}

		private boolean lacksHostsWithLateJobs() {
			return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsNeededWithLateJobs(1) > this.usableHosts;
		}

		private boolean canReleaseHost() {
			return canReleaseHostBeyond(hostsNeeded(RETENTION_FACTOR));
		}

		private boolean canReleaseHostWithLateJobs() {
			return canReleaseHostBeyond(hostsNeededWithLateJobs(RETENTION_FACTOR));
		}

		private boolean canReleaseHostBeyond(double hostsToKeep) {
			return !this.idle.isEmpty() && this.hosts > MINIMUM_HOSTS && hostsToKeep <= this.usableHosts - 1;
		}

		private double missingHosts() {
			return lacksHosts() ? hostsNeeded(HEADROOM) - this.usableHosts : 0;
		}

		private double surplusBeyondRetention() {
			return Math.max(0, this.usableHosts - hostsNeeded(RETENTION_FACTOR));
		}

		private double surplusHosts() {
			return this.usableHosts - hostsNeeded(1);
		}

		private double hostsNeeded(double factor) {
			return Math.max(this.reserveHosts, factor * this.requiredHosts) + this.servingHosts;
		}

		private double hostsNeededWithLateJobs(double factor) {
			return Math.max(this.reserveHosts, factor * (this.requiredHosts + this.lateHosts)) + this.servingHosts;
		}

	}

}
