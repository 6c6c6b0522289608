package io.burdockpin.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.JobRecord;

/**
 * Usage and waiting jobs of one team. Not thread-safe; valid for one round only.
 */
final class TeamLoad {

	private final TeamSpec spec;

	private final int index;

	private final Deque<JobRecord> urgent = new ArrayDeque<>();

	private final Deque<JobRecord> waiting = new ArrayDeque<>();

	private long cpuMillicores;

	private long memoryMebibytes;

	private long accelerators;

	private int unitsInUse;

	private double weightedShare;

	TeamLoad(TeamSpec spec, int number) {
		this.spec = spec;
		this.index = number;
	}

	// configuration

	void addTokens(int count) {
		this.unitsInUse += count;
	}

	void enqueue(JobRecord job) {
		(job.spec().urgent() ? this.urgent : this.waiting).add(job);
	}

	void addUsage(Resources demand, FleetCapacity capacity) {
		this.cpuMillicores += demand.cpuMillicores();
		this.memoryMebibytes += demand.memoryMebibytes();
		this.accelerators += demand.accelerators();
		this.unitsInUse++;
		double dominant = capacity.dominantShare(this.cpuMillicores, this.memoryMebibytes, this.accelerators);
		this.weightedShare = dominant / this.spec.shareWeight();
	}

	// access

	TeamName name() {
		return this.spec.name();
	}

	int index() {
		return this.index;
	}

	/**
	 * Returns the dominant share of the team in the fleet, divided by the weight of the
	 * team. The team with the lowest value is served next.
	 * @return the weighted share, at least 0
	 */
	double weightedShare() {
		return this.weightedShare;
	}

	int shareWeight() {
		return this.spec.shareWeight();
	}

	boolean atLimit() {
		return this.unitsInUse >= this.spec.upperLimit();
	}

	Deque<JobRecord> queue(boolean urgentJobs) {
		return urgentJobs ? this.urgent : this.waiting;
	}

}
