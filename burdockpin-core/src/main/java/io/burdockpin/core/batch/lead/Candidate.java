package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.model.Resources;

/**
 * A runner that may get tasks in one round of placement. Mutable; belongs to the round.
 */
final class Candidate {

	private final RunnerRecord runner;

	private final boolean suspect;

	private Resources free;

	Candidate(RunnerRecord runner, Resources reserved, boolean suspect) {
		this.runner = runner;
		this.free = runner.capacity().minus(reserved);
		this.suspect = suspect;
	}

	RunnerRecord runner() {
		return this.runner;
	}

	boolean isSuspect() {
		return this.suspect;
	}

	boolean fits(StepSpec step) {
		return step.reserved().fitsIn(this.free)
				&& step.requiredLabel().filter((label) -> !this.runner.labels().contains(label)).isEmpty();
	}

	boolean isNear(StepSpec step) {
		return step.dataRack().isEmpty() || step.dataRack().equals(this.runner.rack());
	}

	int freeMillicores() {
		return this.free.cpuMillicores();
	}

	Resources free() {
		return this.free;
	}

	void take(Resources reserved) {
		this.free = this.free.minus(reserved);
	}

	void giveBack(Resources reserved) {
		this.free = this.free.plus(reserved);
	}

}
