package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Jobs and expected usage on one worker. Not thread-safe; valid for one round only.
 */
final class WorkerLoad {

	private final HostSpec spec;

	private final int rackIndex;

	private final boolean takesJobs;

	private final boolean awaitsMaintenance;

	private final int maximumJobs;

	private final List<PlacedJob> jobs = new ArrayList<>();

	private int cpuMillicores;

	private int memoryMebibytes;

	private int accelerators;

	private int stoppingCpuMillicores;

	private int stoppingMemoryMebibytes;

	private int stoppingAccelerators;

	private boolean reservedForUrgent;

	private Optional<JobId> reservedFor = Optional.empty();

	private boolean keptDrainable;

	WorkerLoad(HostSpec spec, int rackIndex, boolean takesJobs, boolean awaitsMaintenance, int maximumJobs) {
		this.spec = spec;
		this.rackIndex = rackIndex;
		this.takesJobs = takesJobs;
		this.awaitsMaintenance = awaitsMaintenance;
		this.maximumJobs = maximumJobs;
	}

	// configuration

	void add(JobRecord job, Resources demand, boolean stopping) {
		this.jobs.add(new PlacedJob(job, demand, stopping));
		this.cpuMillicores += demand.cpuMillicores();
		this.memoryMebibytes += demand.memoryMebibytes();
		this.accelerators += demand.accelerators();
		if (stopping) {
			addStopping(demand);
		}
	}

	/**
	 * Marks placed jobs as stopping, so that an urgent job may use their capacity.
	 * @param victims jobs on this worker
	 */
	void markStopping(List<PlacedJob> victims) {
		for (PlacedJob victim : victims) {
			this.jobs.set(this.jobs.indexOf(victim), new PlacedJob(victim.job(), victim.demand(), true));
			addStopping(victim.demand());
		}
	}

	/** Accepts only urgent jobs for the rest of the round. */
	void reserveForUrgent() {
		this.reservedForUrgent = true;
	}

	/**
	 * Accepts only the given job for the rest of the round. Urgent jobs are not affected,
	 * because they are placed earlier in the round.
	 * @param job the job that the free capacity is reserved for
	 */
	void reserveFor(JobId job) {
		this.reservedFor = Optional.of(job);
	}

	/** Rejects further jobs that would delay the drain of this worker. */
	void keepDrainable() {
		this.keptDrainable = true;
	}

	// access

	HostName name() {
		return this.spec.name();
	}

	Resources capacity() {
		return this.spec.capacity();
	}

	int rackIndex() {
		return this.rackIndex;
	}

	List<PlacedJob> jobs() {
		return this.jobs;
	}

	boolean takesJobs() {
		return this.takesJobs && this.jobs.size() < this.maximumJobs;
	}

	boolean awaitsMaintenance() {
		return this.awaitsMaintenance;
	}

	boolean reservedForUrgent() {
		return this.reservedForUrgent;
	}

	boolean keptDrainable() {
		return this.keptDrainable;
	}

	boolean accepts(JobRecord job) {
		boolean reservedForOther = this.reservedFor.filter((holder) -> !holder.equals(job.id())).isPresent();
		return takesJobs() && !this.reservedForUrgent && !reservedForOther;
	}

	boolean fits(Resources demand) {
		return this.cpuMillicores + demand.cpuMillicores() <= capacity().cpuMillicores()
				&& this.memoryMebibytes + demand.memoryMebibytes() <= capacity().memoryMebibytes()
				&& this.accelerators + demand.accelerators() <= capacity().accelerators();
	}

	/**
	 * Returns whether a demand fits after all stopping jobs have ended and further jobs
	 * have been stopped.
	 * @param demand the demand to place
	 * @param freed the total demand of the further jobs
	 * @return {@code true} if the demand fits in every dimension
	 */
	boolean fitsAfterStops(Resources demand, Resources freed) {
		return excessCpuMillicores(demand) <= freed.cpuMillicores()
				&& excessMemoryMebibytes(demand) <= freed.memoryMebibytes()
				&& excessAccelerators(demand) <= freed.accelerators();
	}

	/**
	 * Returns the free fraction of processor or memory, whichever is scarcer, after
	 * placing a demand.
	 * @param demand the demand to place
	 * @return the fraction, negative if the worker is overcommitted
	 */
	double freeFractionAfter(Resources demand) {
		double cpuFree = freeFraction(this.cpuMillicores + demand.cpuMillicores(), capacity().cpuMillicores());
		double memoryFree = freeFraction(this.memoryMebibytes + demand.memoryMebibytes(), capacity().memoryMebibytes());
		return Math.min(cpuFree, memoryFree);
	}

	// helpers

	private void addStopping(Resources demand) {
		this.stoppingCpuMillicores += demand.cpuMillicores();
		this.stoppingMemoryMebibytes += demand.memoryMebibytes();
		this.stoppingAccelerators += demand.accelerators();
	}

	private int excessCpuMillicores(Resources demand) {
		return this.cpuMillicores - this.stoppingCpuMillicores + demand.cpuMillicores() - capacity().cpuMillicores();
	}

	private int excessMemoryMebibytes(Resources demand) {
		return this.memoryMebibytes - this.stoppingMemoryMebibytes + demand.memoryMebibytes()
				- capacity().memoryMebibytes();
	}

	private int excessAccelerators(Resources demand) {
		return this.accelerators - this.stoppingAccelerators + demand.accelerators() - capacity().accelerators();
	}

	private static double freeFraction(int used, int total) {
		return (total > 0) ? 1 - (double) used / total : 0;
	}

	/**
	 * Job placed on the worker.
	 *
	 * @param job the replicated record of the job
	 * @param demand the expected usage of the job
	 * @param stopping whether the job has been ordered to stop
	 */
	record PlacedJob(JobRecord job, Resources demand, boolean stopping) {
	}

}
