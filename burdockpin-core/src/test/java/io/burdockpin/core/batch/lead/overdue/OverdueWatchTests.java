package io.burdockpin.core.batch.lead.overdue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.DemandPeakSimulation;
import io.burdockpin.core.batch.lead.DemandPeakTests;
import io.burdockpin.core.batch.lead.SimulatedFleet;
import io.burdockpin.core.batch.lead.SimulatedRunner;
import io.burdockpin.core.batch.lead.plan.FreeCapacity;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Rehearses each kind of overdue work once with a planted fault, and guards against
 * reports about work that goes on.
 */
class OverdueWatchTests {

	private static final int ANNOUNCEMENT_MILLIS = 500;

	private static final int RECOVERY_MILLIS = 40_000;

	private final SimulatedFleet fleet = startedFleet();

	@Test
	void aRunOfARunnerThatIsNotRegisteredIsOverdueAtOnce() {
		TaskId task = new TaskId("job", 0, 0, 0);
		RunnerKey unknown = new RunnerKey("unknown", 1);
		BatchFixtures.plantRun(this.fleet.state(),
				new Run(task, 1, unknown, "team", Resources.NONE, Resources.NONE, false));
		this.fleet.run(1_500);
		requireOnly(OverdueKind.RUN_WITHOUT_RUNNER, "job.0.0.0 run 1 at unknown@1");
	}

	@Test
	void anEndWhoseCommitIsLostIsOverdue() {
		this.fleet.loseProposals(Set.of(BatchCommand.NoteEnds.class));
		this.fleet.submit("job", 1, 1, false);
		this.fleet.run(RECOVERY_MILLIS);
		// The task is started on one runner after the other, and all its ends are lost.
		Truth.assertThat(this.fleet.reportedOverdue().keySet()).containsExactly(OverdueKind.END_NOT_ACKNOWLEDGED);
		requireOldest(OverdueKind.END_NOT_ACKNOWLEDGED, 3, "end 1 of r");
	}

	@Test
	void aRunnerThatAnnouncesItselfAndNeverAnswersIsOverdue() {
		RunnerRecord unreachable = new RunnerRecord(new RunnerKey("unreachable", 7), Optional.empty(),
				this.fleet.announcementOf("r0").pool(), "127.0.0.1:1", "dc1", Optional.empty(),
				SimulatedRunner.CAPACITY, Set.of(), false);
		for (int millis = 0; millis < RECOVERY_MILLIS; millis += ANNOUNCEMENT_MILLIS) {
			this.fleet.announceForeign(unreachable);
			this.fleet.run(ANNOUNCEMENT_MILLIS);
		}
		requireOnly(OverdueKind.FIRST_CONTACT_NOT_ANSWERED, "unreachable@7");
	}

	@Test
	void aStepWhosePlanIsNeverCommittedIsOverdue() {
		this.fleet.loseProposals(Set.of(BatchCommand.AssignRuns.class));
		this.fleet.submit("job", 2, 3, false);
		this.fleet.run(RECOVERY_MILLIS);
		requireOnly(OverdueKind.STEP_NOT_PLANNED, "job.0.0");
	}

	/** Guards against a watch that overlooks just the jobs that are never planned. */
	@Test
	void aJobWhoseQueueIsNotKnownIsOverdue() {
		this.fleet.submitToUnknownQueue("job");
		this.fleet.run(RECOVERY_MILLIS);
		requireOnly(OverdueKind.STEP_NOT_PLANNED, "job of unknown queue unknown");
	}

	@Test
	void aRunOfACancelledJobIsOverdueIfItsEndIsNeverCommitted() {
		this.fleet.submitLongRunning("service", 1);
		this.fleet.run(8_000);
		Truth.assertThat(this.fleet.runningCount()).isEqualTo(1);
		this.fleet.loseProposals(Set.of(BatchCommand.NoteEnds.class, BatchCommand.ReleaseRuns.class));
		this.fleet.cancel("service");
		this.fleet.run(RECOVERY_MILLIS);
		// The same loss keeps the end on its runner.
		Truth.assertThat(this.fleet.reportedOverdue().keySet())
			.containsExactly(OverdueKind.END_NOT_ACKNOWLEDGED, OverdueKind.CANCEL_WITHOUT_END);
		requireOldest(OverdueKind.CANCEL_WITHOUT_END, 1, "service.0.0.0 run 1 at r");
	}

	@Test
	void aMoveThatThePlatformNeverCarriesOutIsOverdue() {
		this.fleet.orderMove("host-r0", "other");
		this.fleet.run(RECOVERY_MILLIS);
		requireOnly(OverdueKind.MOVE_WITHOUT_END, "host-r0 to other");
	}

	/** Guards against reports while much work waits for capacity. */
	@Test
	void stepsThatWaitForCapacityAreNotOverdue() {
		this.fleet.submitLongRunning("service", 6);
		for (int round = 0; round < 300; round++) {
			this.fleet.submit("job" + round, 2, 6, round % 3 == 0);
			this.fleet.run(200);
			Truth.assertWithMessage("round %s", round).that(this.fleet.reportedOverdue()).isEmpty();
		}
		Truth.assertThat(this.fleet.state().activeJobs().size()).isGreaterThan(100);
	}

	/** Guards against reports while hosts move, are maintained and are short. */
	@Test
	void demandPeaksMovesAndAWaveLeaveNothingOverdue() {
		DemandPeakSimulation peaks = new DemandPeakSimulation(DemandPeakTests.FLEET, DemandPeakTests.SETTINGS, 1);
		peaks.scheduleWave();
		peaks.runAllPeaks();
		Truth.assertThat(peaks.overdueReports()).isEmpty();
	}

	@Test
	void anItemThatIsNoLongerOpenIsReportedAsZeroOnce() {
		BatchState state = new BatchState();
		state.apply(new CommandGroup(1_000, List.of(new BatchCommand.SetMove("host", "pool", MovePhase.ORDERED))));
		OverdueWatch watch = new OverdueWatch(SimulatedFleet.SETTINGS, 0);
		long boundMillis = OverdueKind.MOVE_WITHOUT_END.boundMillis(SimulatedFleet.SETTINGS);
		Truth.assertThat(watch.evaluate(openWork(state, 1_000))).isEmpty();
		Truth.assertThat(watch.evaluate(openWork(state, 1_000 + boundMillis)))
			.containsExactly(new OverdueReport(OverdueKind.MOVE_WITHOUT_END, 1,
					List.of(new OverdueItem(OverdueKind.MOVE_WITHOUT_END, "host to pool", boundMillis))));
		state.apply(new CommandGroup(2_000, List.of(new BatchCommand.SetMove("host", "pool", MovePhase.OVER))));
		Truth.assertThat(watch.evaluate(openWork(state, 2_000 + boundMillis)))
			.containsExactly(new OverdueReport(OverdueKind.MOVE_WITHOUT_END, 0, List.of()));
		Truth.assertThat(watch.evaluate(openWork(state, 3_000 + boundMillis))).isEmpty();
	}

	@Test
	void aReportCountsAllItemsAndListsOnlyTheOldest() {
		BatchState state = new BatchState();
		OverdueWatch watch = new OverdueWatch(SimulatedFleet.SETTINGS, 0);
		for (int number = 0; number < 20; number++) {
			state.apply(new CommandGroup(1_000,
					List.of(new BatchCommand.SetMove("host" + number, "pool", MovePhase.ORDERED))));
			watch.evaluate(openWork(state, 1_000 + number));
		}
		OverdueReport report = watch.evaluate(openWork(state, 100_000)).get(0);
		Truth.assertThat(report.count()).isEqualTo(20);
		Truth.assertThat(report.oldest()).hasSize(OverdueWatch.MAXIMUM_LISTED_ITEMS);
		Truth.assertThat(report.oldestMillis()).isEqualTo(99_000);
	}

	@Test
	void theWorkIsEvaluatedAfterAPlanAndWithoutOneIfThereIsNoneForLong() {
		OverdueWatch watch = new OverdueWatch(SimulatedFleet.SETTINGS, 0);
		Truth.assertThat(watch.isDue(true, 999)).isFalse();
		Truth.assertThat(watch.isDue(true, 1_000)).isTrue();
		Truth.assertThat(watch.isDue(false, 1_999)).isFalse();
		Truth.assertThat(watch.isDue(false, 2_000)).isTrue();
	}

	private static OpenWork openWork(BatchState state, long nowMillis) {
		return new OpenWork(state, Map.of(), new FreeCapacity(state, List.of(), List.of()), nowMillis);
	}

	private static SimulatedFleet startedFleet() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(1), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		return fleet;
	}

	private void requireOnly(OverdueKind kind, String idPrefix) {
		Truth.assertThat(this.fleet.reportedOverdue().keySet()).containsExactly(kind);
		requireOldest(kind, 1, idPrefix);
	}

	private void requireOldest(OverdueKind kind, int count, String idPrefix) {
		OverdueReport report = this.fleet.reportedOverdue().get(kind);
		Truth.assertThat(report.count()).isEqualTo(count);
		Truth.assertThat(report.oldest().get(0).id()).startsWith(idPrefix);
		Truth.assertThat(report.oldestMillis()).isAtLeast(kind.boundMillis(SimulatedFleet.SETTINGS));
	}

}
