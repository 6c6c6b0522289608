package io.burdockpin.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.JobRecord;

/**
 * What a team holds and waits for in one round. Mutable, used within one round only.
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
	 * Returns the dominant share of the fleet divided by the team's weight. The team with
	 * the lowest value is served next.
	 * @return the weighted share, 0 or more
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

	Deque<JobRecord> queue(boolean urgentOnly) {
		return urgentOnly ? this.urgent : this.waiting;
	}

}
