package io.burdockpin.core.batch.lead.plan;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.model.Resources;

/**
 * Runner that can be assigned tasks in a placement round, with its remaining capacity.
 * Not thread-safe; owned by the round.
 */
final class Candidate {

	private final RunnerRecord runner;

	private final RunnerReliability reliability;

	private Resources free;

	private Resources longRunning;

	Candidate(RunnerRecord runner, Resources reserved, Resources longRunning, RunnerReliability reliability) {
		this.runner = runner;
		this.free = runner.capacity().minus(reserved);
		this.longRunning = longRunning;
		this.reliability = reliability;
	}

	RunnerRecord runner() {
		return this.runner;
	}

	RunnerReliability reliability() {
		return this.reliability;
	}

	boolean fits(StepSpec step) {
		return step.reserved().fitsIn(this.free)
				&& step.requiredLabel().filter((label) -> !this.runner.labels().contains(label)).isEmpty();
	}

	boolean isLocalTo(StepSpec step) {
		return step.dataRack().isEmpty() || step.dataRack().equals(this.runner.rack());
	}

	Resources free() {
		return this.free;
	}

	int freeMillicores() {
		return this.free.cpuMillicores();
	}

	Resources longRunning() {
		return this.longRunning;
	}

	void reserve(StepSpec step) {
		this.free = this.free.minus(step.reserved());
		if (step.longRunning()) {
			this.longRunning = this.longRunning.plus(step.reserved());
		}
	}

	void release(StepSpec step) {
		this.free = this.free.plus(step.reserved());
		if (step.longRunning()) {
			this.longRunning = this.longRunning.minus(step.reserved());
		}
	}

}
