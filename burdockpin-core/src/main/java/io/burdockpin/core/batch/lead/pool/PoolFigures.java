package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.model.Resources;

/**
 * Figures of one pool in one round: the hosts that it has, those that its demand
 * requires, and what follows from both. Handles demand peaks that move from pool to pool.
 * Not thread-safe; created anew in each round.
 */
final class PoolFigures {

	/**
	 * Factor by which a pool grows beyond its demand, since tasks do not fill hosts
	 * completely.
	 */
	private static final double HEADROOM = 1.15;

	/** Factor of its demand that a pool keeps before it releases idle hosts. */
	private static final double RETENTION_FACTOR = 1.4;

	/** Kept for the first jobs of a demand peak. */
	private static final int MINIMUM_HOSTS = 2;

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

	/**
	 * Creates the figures of a pool without hosts and demand.
	 * @param name name of the pool
	 * @param spare whether the hosts of the pool are switched off
	 * @param reserveHosts number of hosts that the pool keeps without demand, besides the
	 * capacity used by long-running tasks
	 */
	PoolFigures(String name, boolean spare, double reserveHosts) {
		this.name = name;
		this.spare = spare;
		this.reserveHosts = reserveHosts;
	}

	String name() {
		return this.name;
	}

	boolean spare() {
		return this.spare;
	}

	int hosts() {
		return this.hosts;
	}

	int arriving() {
		return this.arriving;
	}

	/** Returns the runners whose hosts may be moved now. */
	List<RunnerRecord> idle() {
		return this.idle;
	}

	PoolDemand.ResourceAmount typicalHost() {
		return this.typicalHost;
	}

	void addHost(Resources capacity, Resources longRunning) {
		this.typicalHost = new PoolDemand.ResourceAmount(capacity.cpuMillicores(), capacity.memoryMebibytes());
		PoolDemand.ResourceAmount taken = new PoolDemand.ResourceAmount(longRunning.cpuMillicores(),
				longRunning.memoryMebibytes());
		this.usableHosts += 1 - taken.hostCount(this.typicalHost);
		this.hosts++;
	}

	void addIdle(RunnerRecord runner) {
		this.idle.add(runner);
	}

	/**
	 * Sets the demand, in hosts of the size that the pool has.
	 * @param host capacity of a host of another pool, used if this pool has no hosts
	 * @param demand latest demand
	 * @param lookAheadMillis time until a host ordered now would arrive
	 */
	void setDemand(PoolDemand.ResourceAmount host, PoolDemand demand, long lookAheadMillis) {
		this.typicalHost = (this.typicalHost != PoolDemand.ResourceAmount.NONE) ? this.typicalHost : host;
		this.requiredHosts = demand.requiredHosts(this.name, this.typicalHost, lookAheadMillis);
		this.lateHosts = demand.lateHosts(this.name, this.typicalHost);
		this.servingHosts = demand.servingHosts(this.name, this.typicalHost);
	}

	void addArriving() {
		this.arriving++;
		this.usableHosts++;
		this.hosts++;
	}

	void removeHost(RunnerRecord runner) {
		this.idle.remove(runner);
		this.usableHosts--;
		this.hosts--;
	}

	boolean lacksHosts() {
		// Without a known host size it is not known how much capacity a host adds.
		return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsNeeded(HEADROOM) > this.usableHosts;
	}

	boolean lacksHostsWithLateJobs() {
		return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsNeededWithLateJobs(1) > this.usableHosts;
	}

	boolean canReleaseHost() {
		return canReleaseHostBeyond(hostsNeeded(RETENTION_FACTOR));
	}

	boolean canReleaseHostWithLateJobs() {
		return canReleaseHostBeyond(hostsNeededWithLateJobs(RETENTION_FACTOR));
	}

	double missingHosts() {
		return lacksHosts() ? hostsNeeded(HEADROOM) - this.usableHosts : 0;
	}

	double surplusBeyondRetention() {
		return Math.max(0, this.usableHosts - hostsNeeded(RETENTION_FACTOR));
	}

	double surplusHosts() {
		return this.usableHosts - hostsNeeded(1);
	}

	private boolean canReleaseHostBeyond(double hostsToKeep) {
		return !this.idle.isEmpty() && this.hosts > MINIMUM_HOSTS && hostsToKeep <= this.usableHosts - 1;
	}

	private double hostsNeeded(double factor) {
		return Math.max(this.reserveHosts, factor * this.requiredHosts) + this.servingHosts;
	}

	private double hostsNeededWithLateJobs(double factor) {
		return Math.max(this.reserveHosts, factor * (this.requiredHosts + this.lateHosts)) + this.servingHosts;
	}

}
