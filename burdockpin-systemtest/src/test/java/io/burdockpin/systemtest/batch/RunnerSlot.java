package io.burdockpin.systemtest.batch;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.systemtest.batch.StandInRunner.RunnerPlan;

/** A runner through all its incarnations under one identifier. Used by one thread. */
final class RunnerSlot {

	private final RunnerPlan plan;

	private final HttpClient client;

	private final List<RunRecord> records = new ArrayList<>();

	private Optional<StandInRunner> incarnation = Optional.empty();

	RunnerSlot(RunnerPlan plan, HttpClient client) {
		this.plan = plan;
		this.client = client;
	}

	// life cycle

	void start() {
		if (this.incarnation.isEmpty()) {
			this.incarnation = Optional.of(new StandInRunner(this.plan, this.client));
		}
	}

	void crash() {
		this.incarnation.ifPresent((running) -> this.records.addAll(running.crash()));
		this.incarnation = Optional.empty();
	}

	void heal() {
		start();
		this.incarnation.ifPresent((running) -> {
			running.setCut(false);
			running.setAnswerDelay(0);
			running.setHoldBack(0);
		});
	}

	// access

	Optional<StandInRunner> incarnation() {
		return this.incarnation;
	}

	List<RunRecord> records() {
		return this.records;
	}

	Map<String, Object> machine() {
		return Map.of("machine", this.plan.machine(), "pool", RunnerPlan.SERVICE, "state", "up", "zone",
				RunnerPlan.ZONE, "labels", RunnerPlan.LABELS, "capacity", RunnerPlan.CAPACITY, "id", this.plan.id());
	}

}
