package io.burdockpin.core.report;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class WorkerReportSenderTests {

	private static final HostName WORKER = new HostName("worker-1");

	private static final Resources CAPACITY = new Resources(4_000, 4_096, 0);

	private final WorkerReportSender sender = new WorkerReportSender(5_000);

	private long nowMillis = 1_000;

	private long sequence;

	@Test
	void aReportIsSentOnceAndThenOnlyNamedAtTheLongerInterval() {
		Truth.assertThat(announce(1_000, JobPhase.RUNNING).reports()).hasSize(1);
		int namedCount = 0;
		for (int second = 0; second < 11; second++) {
			WorkerReports batch = announce(1_000, JobPhase.RUNNING);
			Truth.assertThat(batch.reports()).isEmpty();
			namedCount += batch.unchanged().size();
		}
		Truth.assertThat(namedCount).isEqualTo(2);
	}

	@Test
	void fluctuatingUsageIsNotSent() {
		announce(1_000, JobPhase.RUNNING);
		Truth.assertThat(announce(1_040, JobPhase.RUNNING).reports()).isEmpty();
		Truth.assertThat(announce(960, JobPhase.RUNNING).reports()).isEmpty();
	}

	@Test
	void usageThatCrossesABoundOfTheOverloadDecisionIsSentAtOnce() {
		announce(4_000, JobPhase.RUNNING);
		Truth.assertThat(announce(4_001, JobPhase.RUNNING).reports()).hasSize(1);
		Truth.assertThat(announce(4_000, JobPhase.RUNNING).reports()).hasSize(1);
	}

	@Test
	void aJobThatGrowsBeyondTheHeadroomOfTheLeaderIsSent() {
		announce(1_000, JobPhase.RUNNING);
		Truth.assertThat(announce(1_101, JobPhase.RUNNING).reports()).hasSize(1);
	}

	@Test
	void usageIsSentAgainOnceAfterTheSettleTime() {
		announce(2_000, JobPhase.RUNNING);
		int count = 0;
		for (int second = 0; second < 20; second++) {
			count += announce(500, JobPhase.RUNNING).reports().size();
		}
		Truth.assertThat(count).isEqualTo(1);
	}

	@Test
	void anEndedJobIsSentAtOnce() {
		announce(1_000, JobPhase.RUNNING);
		Truth.assertThat(announce(1_000, JobPhase.SUCCEEDED).reports()).hasSize(1);
	}

	@Test
	void aWorkerThatMeanwhileReportedToAnotherEntryHostIsSentInFull() {
		announce(1_000, JobPhase.RUNNING);
		this.sequence++;
		Truth.assertThat(announce(1_000, JobPhase.RUNNING).reports()).hasSize(1);
	}

	@Test
	void aWorkerThatMissesAnAnnouncementIsNamedAsSilentBeforeItsLivenessIsConfirmed() {
		announce(1_000, JobPhase.RUNNING);
		this.nowMillis += WorkerReportSender.SILENCE_TIMEOUT_MILLIS + 1;
		WorkerReports batch = this.sender.nextBatch(this.nowMillis).get().message();
		Truth.assertThat(batch.silent()).containsExactly(WORKER);
		Truth.assertThat(batch.heardWithinMillis()).isEqualTo(0);
	}

	@Test
	void everythingIsSentAgainAfterALostBatchButNotTwice() {
		WorkerReportBatch first = announceAndBatch(1_000, JobPhase.RUNNING);
		WorkerReportBatch second = announceAndBatch(1_000, JobPhase.RUNNING);
		this.sender.onBatchLost(first);
		Truth.assertThat(announce(1_000, JobPhase.RUNNING).reports()).hasSize(1);
		this.sender.onBatchLost(second);
		WorkerReports third = announce(1_000, JobPhase.RUNNING);
		Truth.assertThat(third.reports()).isEmpty();
		Truth.assertThat(third.number()).isEqualTo(1);
	}

	@Test
	void aReplyWithoutAnOrderRenewsTheLeasesOfANamedWorker() {
		WorkerReportBatch batch = announceAndBatch(1_000, JobPhase.RUNNING);
		WorkerOrder order = batch.expandOrders(new WorkerOrders(1, 30_000, false, List.of())).get(0);
		Truth.assertThat(order).isEqualTo(new WorkerOrder(WORKER, 1, 30_000, List.of(new JobId("j-1")), List.of()));
		Truth.assertThat(batch.expandOrders(new WorkerOrders(1, 30_000, true, List.of()))).isEmpty();
	}

	private WorkerReports announce(int cpuMillicores, JobPhase phase) {
		return announceAndBatch(cpuMillicores, phase).message();
	}

	private WorkerReportBatch announceAndBatch(int cpuMillicores, JobPhase phase) {
		this.nowMillis += 1_000;
		Resources usage = new Resources(cpuMillicores, 100, 0);
		JobReport job = new JobReport(new JobId("j-1"), 1, phase, usage, Payload.EMPTY);
		WorkerReport report = new WorkerReport(WORKER, "boot-1", ++this.sequence, usage, List.of(job));
		this.sender.onAnnouncement(report, Optional.of(CAPACITY), this.nowMillis);
		return this.sender.nextBatch(this.nowMillis).get();
	}

}
