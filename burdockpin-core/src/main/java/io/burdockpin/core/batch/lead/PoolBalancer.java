package io.burdockpin.core.batch.lead;

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
 * Moves hosts to the pools whose jobs want more room than there is, from the spare pool
 * first and then from pools that leave hosts idle, and returns hosts that stay idle to
 * the spare pool. Only hosts without a run are moved. Mutable; owned by the leader.
 */
public final class PoolBalancer {

	/**
	 * ResourceAmount beyond the demand that a pool keeps; tasks do not fill hosts
	 * completely.
	 */
	private static final double HEADROOM = 1.15;

	/**
	 * ResourceAmount beyond the demand that a pool keeps before it gives idle hosts away.
	 */
	private static final double RETENTION_FACTOR = 1.4;

	/** A pool keeps hosts for the first jobs of a turn. */
	private static final int MINIMUM_HOSTS = 2;

	/**
	 * Share of the hosts, divided evenly by pool, that a pool keeps beside what
	 * long-running tasks take. In a large fleet a turn takes dozens of hosts, and the
	 * platform moves them one after the other.
	 */
	private static final double RESERVE_SHARE = 0.2;

	/**
	 * With more orders under way, idle hosts stay where another pool can take them. The
	 * platform takes about as many in a tenth of a second.
	 */
	private static final int MAXIMUM_WAITING_ORDERS = 6;

	/**
	 * Late jobs take spare hosts only while this share of all hosts stays for the next
	 * turn: each move takes seconds, and its jobs can still be in time.
	 */
	private static final double SPARE_SHARE_FOR_PEAKS = 0.3;

	/**
	 * Late jobs must be finished too, so most of a pool goes on with them while the rest
	 * becomes idle.
	 */
	private static final double MAXIMUM_CORDONED_SHARE = 0.4;

	/** Demand changes within tenths of a second. */
	private static final long PERIOD_MILLIS = 150;

	private final BatchState state;

	private final BalanceSettings settings;

	private final long fencingToken;

	private final long electedMillis;

	private final PoolDemand demand;

	private final HandOverPause pause;

	private final HostOrderTracker orders;

	private final Map<String, HostEntry> spareHosts = new LinkedHashMap<>();

	private final Map<String, Long> idleSinceMillis = new HashMap<>();

	private final Map<String, Long> movedMillis = new HashMap<>();

	/** Hosts whose move is proposed but not committed yet. */
	private final Set<String> proposedHosts = new HashSet<>();

	private final List<BatchCommand> proposals = new ArrayList<>();

	/** Hosts with tasks that take no new ones, so that another pool can have them. */
	private Set<String> cordonedHosts = Set.of();

	/** Pools in which the newest plan found no runner with room for a task. */
	private Set<String> poolsLackingCapacity = Set.of();

	private long nextRoundMillis;

	private long nextListMillis;

	/**
	 * Creates a balancer.
	 * @param state the state
	 * @param settings the settings
	 * @param fencingToken the term of this leader
	 * @param electedMillis when this leader was elected, by a monotonic clock
	 * @param durations estimates how long tasks take
	 */
	public PoolBalancer(BatchState state, BalanceSettings settings, long fencingToken, long electedMillis,
			DurationEstimator durations) {
		this.state = state;
		this.settings = settings;
		this.fencingToken = fencingToken;
		this.electedMillis = electedMillis;
		this.demand = new PoolDemand(state, durations);
		this.pause = new HandOverPause(state, settings.handOverPauseMillis(), electedMillis);
		this.orders = new HostOrderTracker(this.pause, settings.retryMillis());
	}

	// access

	/**
	 * Tells whether a host is about to be moved.
	 * @param host the host
	 * @return whether it takes no new tasks
	 */
	public boolean isMoving(String host) {
		return this.state.moves().containsKey(host) || this.proposedHosts.contains(host);
	}

	/**
	 * Tells whether a host is to become idle for another pool.
	 * @param host the host
	 * @return whether it takes no new tasks
	 */
	public boolean isCordoned(String host) {
		return this.cordonedHosts.contains(host);
	}

	/**
	 * Takes note that a command about a move was committed.
	 * @param host the host
	 */
	public void onMoveCommitted(String host) {
		this.proposedHosts.remove(host);
	}

	/**
	 * Tells whether the list of hosts has to be read, and counts it as asked for.
	 * @param nowMillis the time of the monotonic clock
	 * @return whether to read it now
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
	 * Returns and clears the commands to commit.
	 * @return the commands
	 */
	public List<BatchCommand> drainProposals() {
		List<BatchCommand> drained = List.copyOf(this.proposals);
		this.proposals.clear();
		return drained;
	}

	/**
	 * Returns and clears the orders to send.
	 * @return the orders
	 */
	public List<HostOrder> drainOrders() {
		return this.orders.drainOrders();
	}

	// events

	/**
	 * Takes note of the platform's list of hosts.
	 * @param hosts all hosts
	 */
	public void onHostList(List<HostEntry> hosts) {
		this.spareHosts.clear();
		this.state.configuration()
			.ifPresent((configuration) -> hosts.stream()
				.filter((entry) -> entry.up() && isSpare(configuration, entry.pool()))
				.forEach((entry) -> this.spareHosts.put(entry.host(), entry)));
	}

	/**
	 * Takes note of the newest plan.
	 * @param plan the plan
	 */
	public void onPlan(Plan plan) {
		this.poolsLackingCapacity = plan.poolsLackingCapacity();
	}

	/**
	 * Takes the next steps.
	 * @param sessions the sessions with the runners
	 * @param isReserved hosts that must stay where they are
	 * @param waitingOrders how many orders about hosts wait to be sent
	 * @param nowMillis the time of the monotonic clock
	 * @param wallMillis the time of day in milliseconds since 1970
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
		Predicate<String> mustStay = (host) -> isReserved.test(host)
				|| !this.pause.hasElapsed(host, nowMillis, wallMillis);
		Map<String, Pool> pools = pools(configuration, sessions, mustStay, nowMillis);
		List<Pool> working = pools.values().stream().filter((pool) -> !pool.spare).toList();
		working.forEach((pool) -> grow(pool, pools, nowMillis, wallMillis));
		double missingHosts = working.stream().mapToDouble(Pool::missingHosts).sum();
		this.cordonedHosts = chooseHostsToCordon(missingHosts, working, sessions, mustStay, nowMillis);
		if (missingHosts == 0) {
			working.forEach((pool) -> growForLateJobs(pool, pools, nowMillis, wallMillis));
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
	 * Takes note of the reply to an order.
	 * @param order the order
	 * @param reply the reply
	 * @param nowMillis the time of the monotonic clock
	 */
	public void onReply(HostOrder.Move order, HostReply reply, long nowMillis) {
		this.orders.onReply(order.host(), reply, nowMillis);
		switch (reply) {
			case DONE -> {
				this.movedMillis.put(order.host(), nowMillis);
				// The runner has ended with the move, so it is not asked any more.
				Optional.ofNullable(this.state.moves().get(order.host()))
					.flatMap(HostMove::lifeBefore)
					.ifPresent((life) -> this.proposals.add(new BatchCommand.RemoveRunner(life)));
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.BEGUN));
			}
			case HOST_NOT_UP, UNKNOWN_HOST ->
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.OVER));
			default -> {
				// The order may have been carried out, so it is sent again.
			}
		}
	}

	// moves under way

	private void advance(HostMove move, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		if (!move.begun() && hasRuns(move)) {
			// A task was assigned to the host before the move was committed.
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

	// A host in the spare pool is off, so no runner tells that it has arrived.
	private boolean isToSparePool(HostMove move) {
		return this.state.configuration().filter((configuration) -> isSpare(configuration, move.pool())).isPresent();
	}

	private boolean hasBegunLongerAgoThan(HostMove move, long millis, long nowMillis) {
		return nowMillis - this.movedMillis.getOrDefault(move.host(), this.electedMillis) > millis;
	}

	private boolean hasRuns(HostMove move) {
		return !this.orders.isSent(move.host())
				&& move.lifeBefore().filter((life) -> !this.state.runs().on(life).isEmpty()).isPresent();
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

	// decisions

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
		// A pool that has lost all its hosts goes by the hosts of the others.
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

	private void grow(Pool pool, Map<String, Pool> pools, long nowMillis, long wallMillis) {
		while (pool.lacksHosts() || (this.poolsLackingCapacity.contains(pool.name) && pool.arriving == 0)) {
			Optional<String> host = takeSpare(nowMillis, wallMillis)
				.or(() -> takeIdleFromOtherPool(pool, pools, nowMillis));
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			order(host.get(), pool.name);
		}
	}

	private void growForLateJobs(Pool pool, Map<String, Pool> pools, long nowMillis, long wallMillis) {
		int hosts = pools.values().stream().mapToInt((known) -> known.hosts).sum() + this.spareHosts.size();
		while (pool.lacksHostsWithLateJobs() && this.spareHosts.size() > SPARE_SHARE_FOR_PEAKS * hosts) {
			Optional<String> host = takeSpare(nowMillis, wallMillis);
			if (host.isEmpty()) {
				return;
			}
			pool.addArriving();
			order(host.get(), pool.name);
		}
	}

	// Hosts that take no new tasks become idle and can be moved: late jobs must not keep
	// hosts from jobs of other pools that can be in time.
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
				&& this.state.runs().longRunningOn(runner.key()).equals(Resources.NONE) && nowMillis
						- this.movedMillis.getOrDefault(runner.hostOrId(), 0L) >= this.settings.minimumStayMillis();
	}

	private void order(String host, String pool) {
		this.proposedHosts.add(host);
		this.orders.begin(host);
		this.proposals.add(new BatchCommand.SetMove(host, pool, MovePhase.ORDERED));
	}

	private Optional<String> takeSpare(long nowMillis, long wallMillis) {
		Optional<String> host = this.spareHosts.keySet()
			.stream()
			.filter((name) -> !isMoving(name) && this.orders.canBegin(name, nowMillis, wallMillis))
			// The list may be older than the newest move of the host, and a host that is
			// on must not be taken for a spare one: its runs would end with the move.
			.filter((name) -> this.state.runnerOn(name).isEmpty())
			.filter((name) -> nowMillis - this.movedMillis.getOrDefault(name, Long.MIN_VALUE / 2) >= this.settings
				.minimumStayMillis())
			.findFirst();
		host.ifPresent(this.spareHosts::remove);
		return host;
	}

	private Optional<String> takeIdleFromOtherPool(Pool taker, Map<String, Pool> pools, long nowMillis) {
		return pools.values()
			.stream()
			.filter((pool) -> pool != taker && pool.canReleaseHost() && !this.poolsLackingCapacity.contains(pool.name))
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
			.findFirst();
		taken.ifPresent((runner) -> pool.removeHost(runner));
		return taken.map(RunnerRecord::hostOrId);
	}

	private static boolean isSpare(FleetConfiguration configuration, String pool) {
		return configuration.pool(pool).filter(BatchPool::spare).isPresent();
	}

	/** A pool in one round. Mutable. */
	private static final class Pool {

		private final String name;

		private final boolean spare;

		private final double reserveHosts;

		private final List<RunnerRecord> idle = new ArrayList<>();

		private PoolDemand.ResourceAmount typicalHost = PoolDemand.ResourceAmount.NONE;

		/** Hosts that tasks fill which end by themselves and can be in time. */
		private double requiredHosts;

		/** Hosts that tasks of late jobs fill. */
		private double lateHosts;

		/** Hosts that waiting long-running tasks need. */
		private int servingHosts;

		private int hosts;

		/** What long-running tasks leave of the hosts, in whole hosts. */
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
			// Without any host nothing is known about how much one brings.
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
