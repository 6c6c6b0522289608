package io.burdockpin.core.placement;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against overload steps that are harsher than needed, that follow before reports
 * show the effect of the previous step, or that interrupt jobs which must not be
 * interrupted.
 */
class OverloadControlTests {

	/** Minimum time between two steps on a worker. */
	private static final long STEP_INTERVAL_MILLIS = 15_000;

	private static final Resources CPU_OVERLOADED = new Resources(4_001, 1_024, 0);

	private static final Resources MEMORY_OVERLOADED = new Resources(1_000, 4_000, 0);

	private static final Resources LOW = new Resources(1_000, 1_024, 0);

	private static final JobRecord REPEATABLE = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true),
			JobState.RUNNING);

	private static final JobRecord NOT_REPEATABLE = Records.placedOn(1, "j-2", Records.spec("team-1", 1, false, false),
			JobState.RUNNING);

	private static final JobRecord URGENT = Records.placedOn(1, "j-3", Records.spec("team-1", 1, true, true),
			JobState.RUNNING);

	private final PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);

	private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.DEFAULT, this.tables);

	@Test
	void anOverloadedWorkerIsRelievedByThrottleThenCheckpointThenMoveAndEachStepWaitsForItsEffect() {
		Truth.assertThat(orders(CPU_OVERLOADED, 0, REPEATABLE)).containsExactly(JobOrderKind.THROTTLE);
		Truth.assertThat(orders(CPU_OVERLOADED, STEP_INTERVAL_MILLIS - 1, REPEATABLE)).isEmpty();
		Truth.assertThat(orders(CPU_OVERLOADED, STEP_INTERVAL_MILLIS, REPEATABLE))
			.containsExactly(JobOrderKind.CHECKPOINT);
		Truth.assertThat(orders(CPU_OVERLOADED, 2 * STEP_INTERVAL_MILLIS, REPEATABLE))
			.containsExactly(JobOrderKind.STOP);
	}

	@Test
	void aLackOfMemoryDoesNotThrottleJobs() {
		Truth.assertThat(orders(MEMORY_OVERLOADED, 0, REPEATABLE)).containsExactly(JobOrderKind.CHECKPOINT);
	}

	@Test
	void aThrottleIsLiftedOnceTheUsageOfTheWorkerIsLow() {
		orders(CPU_OVERLOADED, 0, NOT_REPEATABLE);
		Truth.assertThat(percent()).isEqualTo(50);
		Truth.assertThat(orders(LOW, 1_000, NOT_REPEATABLE)).containsExactly(JobOrderKind.THROTTLE);
		Truth.assertThat(percent()).isEqualTo(100);
	}

	@Test
	void neitherUrgentJobsNorThoseThatAreNotRepeatableAreMoved() {
		for (long step = 0; step < 5; step++) {
			Truth.assertThat(orders(MEMORY_OVERLOADED, step * STEP_INTERVAL_MILLIS, NOT_REPEATABLE, URGENT)).isEmpty();
		}
	}

	@Test
	void noStepIsTakenOnAWorkerThatNoLongerReports() {
		this.tables.workers().recordReport(report(CPU_OVERLOADED), 0);
		Truth.assertThat(plan(10_000, REPEATABLE)).isEmpty();
	}

	private int percent() {
		return this.tables.interventions().pendingFor(NOT_REPEATABLE).get().throttlePercent();
	}

	private List<JobOrderKind> orders(Resources usage, long nowMillis, JobRecord... jobs) {
		this.tables.workers().recordReport(report(usage), nowMillis);
		return plan(nowMillis, jobs);
	}

	private List<JobOrderKind> plan(long nowMillis, JobRecord... jobs) {
		List<JobRecord> all = List.of(jobs);
		FleetView view = Records.view(List.of(Records.host(1, HostState.IN_SERVICE)),
				List.of(Records.team("team-1", 1, 100)), all);
		return this.planner.plan(view, JobIndex.of(all), nowMillis)
			.interventions()
			.stream()
			.map(JobIntervention::kind)
			.toList();
	}

	private static WorkerReport report(Resources usage) {
		return new WorkerReport(Records.hostName(1), "boot-1", 1, usage, List.of());
	}

}
