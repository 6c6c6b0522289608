package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.model.Resources;

/**
 * Figures of one pool in one round: the hosts that it has, those that its demand
 * requires, and what follows from both. Handles demand peaks that move from pool to pool.
 * Not thread-safe; created anew in each round.
 */
final class PoolFigures {

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

	private ExpectedDemand expected = ExpectedDemand.UNKNOWN;

	/** Hosts required by waiting long-running tasks. */
	private int servingHosts;

	private int hosts;

	/** Capacity not used by long-running tasks, in hosts. */
	private double usableHosts;

	private int arriving;

	private final Map<String, Integer> hostsByRack = new HashMap<>();

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

	/**
	 * Returns the runners whose hosts may be moved now.
	 * @return runners without runs
	 */
	List<RunnerRecord> idle() {
		return this.idle;
	}

	PoolDemand.ResourceAmount typicalHost() {
		return this.typicalHost;
	}

	/**
	 * Adds a host that serves the pool.
	 * @param runner runner on the host
	 * @param longRunning capacity used by long-running tasks
	 */
	void addHost(RunnerRecord runner, Resources longRunning) {
		Resources capacity = runner.capacity();
		runner.rack().ifPresent((rack) -> this.hostsByRack.merge(rack, 1, Integer::sum));
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
	 */
	void setDemand(PoolDemand.ResourceAmount host, PoolDemand demand) {
		this.typicalHost = (this.typicalHost != PoolDemand.ResourceAmount.NONE) ? this.typicalHost : host;
		this.requiredHosts = demand.requiredHosts(this.name, this.typicalHost);
		this.lateHosts = demand.lateHosts(this.name, this.typicalHost);
		this.servingHosts = demand.servingHosts(this.name, this.typicalHost);
	}

	/**
	 * Returns the hosts that are expected to be required when a host ordered now arrives.
	 * @return number of hosts, including fractions
	 */
	double expectedHosts() {
		return this.expected.arrivalHosts();
	}

	void setExpected(ExpectedDemand demand) {
		this.expected = demand;
	}

	/**
	 * Returns the number of hosts that the pool has in a rack.
	 * @param rack name of the rack
	 * @return number of hosts, without those on their way
	 */
	int hostsInRack(String rack) {
		return this.hostsByRack.getOrDefault(rack, 0);
	}

	void addArriving() {
		this.arriving++;
		this.usableHosts++;
		this.hosts++;
	}

	void removeHost(RunnerRecord runner) {
		this.idle.remove(runner);
		runner.rack().ifPresent((rack) -> this.hostsByRack.merge(rack, -1, Integer::sum));
		this.usableHosts--;
		this.hosts--;
	}

	boolean lacksHosts() {
		// Without a known host size it is not known how much capacity a host adds.
		return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsToGrowTo() > this.usableHosts;
	}

	boolean lacksHostsWithLateJobs() {
		return this.typicalHost != PoolDemand.ResourceAmount.NONE && hostsNeededWithLateJobs(1) > this.usableHosts;
	}

	boolean canReleaseHost() {
		return canReleaseHostBeyond(hostsToKeep());
	}

	boolean canReleaseHostWithLateJobs() {
		return canReleaseHostBeyond(
				Math.max(this.expected.soonHosts() + this.servingHosts, hostsNeededWithLateJobs(RETENTION_FACTOR)));
	}

	double missingHosts() {
		return lacksHosts() ? hostsToGrowTo() - this.usableHosts : 0;
	}

	double surplusBeyondRetention() {
		return Math.max(0, this.usableHosts - hostsToKeep());
	}

	double surplusHosts() {
		return this.usableHosts - hostsNeeded(1);
	}

	private boolean canReleaseHostBeyond(double hostsToKeep) {
		return !this.idle.isEmpty() && this.hosts > MINIMUM_HOSTS && hostsToKeep <= this.usableHosts - 1;
	}

	// Hosts for a demand that the forecast knows to end soon would arrive after it.
	private double hostsToGrowTo() {
		double mostHosts = Math.max(this.reserveHosts, this.expected.mostHosts()) + this.servingHosts;
		return Math.max(this.expected.arrivalHosts() + this.servingHosts, Math.min(mostHosts, hostsNeeded(1)));
	}

	private double hostsToKeep() {
		return Math.max(this.expected.soonHosts() + this.servingHosts, hostsNeeded(RETENTION_FACTOR));
	}

	private double hostsNeeded(double factor) {
		return Math.max(this.reserveHosts, factor * this.requiredHosts) + this.servingHosts;
	}

	private double hostsNeededWithLateJobs(double factor) {
		return Math.max(this.reserveHosts, factor * (this.requiredHosts + this.lateHosts)) + this.servingHosts;
	}

}
