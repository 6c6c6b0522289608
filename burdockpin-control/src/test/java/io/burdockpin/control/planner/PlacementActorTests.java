package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.placement.LeaseSettings;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.report.WorkerReportBatch;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlacementActorTests {

	private static final Holder ENTRY = new Holder(new HostName("entry-1"), 1);

	private static final Duration PERIOD = Duration.ofMillis(250);

	private static final long PAUSE_MILLIS = 9_000;

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<FakeReplica.Request> requests = this.testKit.createTestProbe();

	private final FakeReplica replica = new FakeReplica(this.requests);

	private final TestProbe<ClientMessage> entryHost = this.testKit.createTestProbe();

	private final AtomicLong nowMillis = new AtomicLong();

	private ActorRef<PlacementActor.Message> actor = spawn(PlacementSettings.DEFAULT);

	private long batchNumber;

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void aWaitingJobIsPlacedStartedAndFinishedOnAWorkerThatReports() {
		runRound();
		Truth.assertThat(report(List.of()).orders()).isEmpty();
		runRound();
		this.replica.applyProposal();
		Truth.assertThat(this.replica.jobState()).isEqualTo(JobState.PLACED);
		runRound();
		Truth.assertThat(kinds(report(List.of()))).containsExactly(JobOrderKind.START);
		Truth.assertThat(report(List.of(jobReport(JobPhase.RUNNING))).renewed()).containsExactly(FakeReplica.JOB);
		this.replica.applyProposal();
		Truth.assertThat(this.replica.jobState()).isEqualTo(JobState.RUNNING);
		runRound();
		report(List.of(jobReport(JobPhase.SUCCEEDED)));
		this.replica.applyProposal();
		Truth.assertThat(this.replica.jobState()).isEqualTo(JobState.SUCCEEDED);
		runRound();
		Truth.assertThat(kinds(report(List.of(jobReport(JobPhase.SUCCEEDED))))).containsExactly(JobOrderKind.FORGET);
	}

	@Test
	void aMemberThatDoesNotLeadNeitherPlansNorAnswersReports() {
		this.replica.follow();
		runRound();
		sendReport(List.of());
		runRound();
		this.entryHost.expectNoMessage(Duration.ZERO);
		this.requests.expectNoMessage(Duration.ZERO);
	}

	/**
	 * Guards against a leader that was paused while the records were on their way to the
	 * planner, and then renews leases as if its leadership had just been confirmed.
	 */
	@Test
	void reportsAreNotAnsweredFromRecordsThatWereConfirmedBeforeAPause() {
		this.time.timePasses(PERIOD);
		this.nowMillis.set(PAUSE_MILLIS);
		this.replica.answerView(0);
		sendReport(List.of());
		this.time.timePasses(PERIOD);
		this.replica.answerView(PAUSE_MILLIS);
		this.entryHost.expectNoMessage(Duration.ZERO);
		sendReport(List.of());
		Truth.assertThat(this.entryHost.expectMessageClass(WorkerOrders.class).resend()).isTrue();
	}

	/**
	 * Guards against a leader that renews leases after a successor was elected for longer
	 * than the margin of the lease covers.
	 */
	@Test
	void reportsAreAnsweredForHalfOfTheMarginOfAShortLeaseAfterAConfirmation() {
		this.testKit.stop(this.actor);
		this.actor = spawn(PlacementSettings.DEFAULT.withLeases(new LeaseSettings(10_000, 3_000)));
		runRound();
		this.nowMillis.set(1_000);
		report(List.of());
		this.nowMillis.set(1_001);
		sendReport(List.of());
		this.time.timePasses(PERIOD);
		this.replica.answerView(1_001);
		this.entryHost.expectNoMessage(Duration.ZERO);
		sendReport(List.of());
		Truth.assertThat(this.entryHost.expectMessageClass(WorkerOrders.class).resend()).isTrue();
	}

	/**
	 * Guards against planning four times per second although nothing has changed.
	 */
	@Test
	void withoutAChangeTheNextRoundFollowsAfterASecond() {
		this.replica.follow();
		runRound();
		this.time.expectNoMessageFor(PERIOD.multipliedBy(3), this.requests);
		runRound();
	}

	/**
	 * Guards against waiting for the periodic round although records have changed.
	 */
	@Test
	void aChangeOfTheRecordsStartsARoundOnePeriodAfterTheLast() {
		this.replica.follow();
		runRound();
		this.replica.notifyRecordsChanged();
		this.time.expectNoMessageFor(PERIOD.dividedBy(2), this.requests);
		runRound();
	}

	private ActorRef<PlacementActor.Message> spawn(PlacementSettings settings) {
		return this.testKit.spawn(PlacementActor.create(settings, PERIOD,
				() -> Instant.ofEpochMilli(this.nowMillis.get()), this.replica, this.testKit.system().ignoreRef()));
	}

	private void runRound() {
		this.time.timePasses(PERIOD);
		this.replica.answerView();
	}

	private WorkerOrder report(List<JobReport> jobs) {
		WorkerReportBatch batch = sendReport(jobs);
		return batch.expandOrders(this.entryHost.expectMessageClass(WorkerOrders.class)).get(0);
	}

	private WorkerReportBatch sendReport(List<JobReport> jobs) {
		WorkerReport report = new WorkerReport(FakeReplica.WORKER, "boot-1", 1, Resources.NONE, jobs);
		WorkerReports message = new WorkerReports(1, 1, this.batchNumber++, 0, List.of(report), List.of(), List.of());
		this.actor.tell(new PlacementActor.ReportsArrived(ENTRY, message, this.entryHost.getRef()));
		return new WorkerReportBatch(message, List.of(report));
	}

	private static List<JobOrderKind> kinds(WorkerOrder order) {
		return order.orders().stream().map(JobOrder::kind).toList();
	}

	private static JobReport jobReport(JobPhase phase) {
		return new JobReport(FakeReplica.JOB, 1, phase, Resources.NONE, Payload.EMPTY);
	}

}
