package io.burdockpin.core.placement;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong commands or orders for reports that are late, repeated or from a
 * new boot.
 */
class WorkerReconcilerTests {

	private final PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);

	private final WorkerReconciler reconciler = this.tables.createReconciler();

	private final JobRecord placedNotRepeatable = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, false),
			JobState.PLACED);

	private final JobRecord runningNotRepeatable = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, false),
			JobState.RUNNING);

	private final JobRecord running = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true),
			JobState.RUNNING);

	@Test
	void aWorkerThatRunsAnOldEpochIsToldToStop() {
		ReconciliationResult result = reconcile("boot-1", this.running, 0,
				Records.jobReport("j-1", 0, JobPhase.RUNNING));
		Truth.assertThat(kinds(result)).containsExactly(JobOrderKind.STOP);
		Truth.assertThat(result.order().renewed()).isEmpty();
	}

	@Test
	void aReportOfANewerEpochThanTheViewCausesNoOrdersAndNoCommands() {
		ReconciliationResult result = reconcile("boot-1", this.running, 0,
				Records.jobReport("j-1", 2, JobPhase.RUNNING));
		Truth.assertThat(result.order().orders()).isEmpty();
		Truth.assertThat(result.commands()).isEmpty();
	}

	@Test
	void aJobThatIsNotRepeatableIsNotStartedAgainAfterAReboot() {
		this.tables.startGuard().recordPlacement(this.placedNotRepeatable.id(), 1);
		Truth.assertThat(kinds(reconcile("boot-1", this.placedNotRepeatable, 0))).containsExactly(JobOrderKind.START);
		ReconciliationResult result = reconcile("boot-2", this.placedNotRepeatable, 1_000);
		Truth.assertThat(result.order().orders()).isEmpty();
		Truth.assertThat(result.commands())
			.containsExactly(new JobCommand.InterruptJob(this.placedNotRepeatable.id(), 1, false, Payload.EMPTY));
	}

	@Test
	void aNewLeaderDoesNotStartAJobThatIsNotRepeatableAndThatAnotherLeaderPlaced() {
		this.tables.leases().observe(List.of(this.placedNotRepeatable), 0);
		ReconciliationResult result = reconcile("boot-1", this.placedNotRepeatable, 0);
		Truth.assertThat(result.order().orders()).isEmpty();
		Truth.assertThat(result.commands()).isEmpty();
	}

	@Test
	void aJobThatIsNotRepeatableAndMissingFromReportsForAFullPeriodEnds() {
		this.tables.leases().observe(List.of(this.runningNotRepeatable), 0);
		Truth.assertThat(reconcile("boot-1", this.runningNotRepeatable, 35_999).commands()).isEmpty();
		Truth.assertThat(reconcile("boot-1", this.runningNotRepeatable, 36_000).commands())
			.containsExactly(new JobCommand.InterruptJob(this.runningNotRepeatable.id(), 1, false, Payload.EMPTY));
	}

	@Test
	void aStopIsOrderedBeforeTheStartThatNeedsItsCapacity() {
		JobRecord urgent = Records.placedOn(1, "j-2", Records.spec("team-1", 4, true, true), JobState.PLACED);
		this.tables.interventions()
			.add(new JobIntervention(Records.hostName(1), this.running.id(), 1, JobOrderKind.STOP, 0, "test"));
		ReconciliationResult result = this.reconciler.reconcile(
				Records.report(1, "boot-1", Records.jobReport("j-1", 1, JobPhase.RUNNING)),
				JobIndex.of(List.of(urgent, this.running)), 0);
		Truth.assertThat(kinds(result)).containsExactly(JobOrderKind.STOP, JobOrderKind.START).inOrder();
	}

	@Test
	void aCheckpointIsOrderedOnlyOnce() {
		this.tables.interventions()
			.add(new JobIntervention(Records.hostName(1), this.running.id(), 1, JobOrderKind.CHECKPOINT, 0, "test"));
		Truth.assertThat(kinds(reconcile("boot-1", this.running, 0, Records.jobReport("j-1", 1, JobPhase.RUNNING))))
			.containsExactly(JobOrderKind.CHECKPOINT);
		Truth.assertThat(kinds(reconcile("boot-1", this.running, 0, Records.jobReport("j-1", 1, JobPhase.RUNNING))))
			.isEmpty();
	}

	@Test
	void aRepeatableJobThatFailsQuicklyForTheFirstTimeIsRetried() {
		ReconciliationResult result = reconcile("boot-1", this.running, 100,
				Records.jobReport("j-1", 1, JobPhase.FAILED));
		Truth.assertThat(result.commands())
			.containsExactly(new JobCommand.InterruptJob(this.running.id(), 1, false, Payload.EMPTY));
	}

	private ReconciliationResult reconcile(String bootId, JobRecord job, long nowMillis, JobReport... reports) {
		return this.reconciler.reconcile(Records.report(1, bootId, reports), JobIndex.of(List.of(job)), nowMillis);
	}

	private static List<JobOrderKind> kinds(ReconciliationResult result) {
		return result.order().orders().stream().map(JobOrder::kind).toList();
	}

}
