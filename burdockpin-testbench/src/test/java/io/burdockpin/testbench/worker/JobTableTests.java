package io.burdockpin.testbench.worker;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.codec.json.WorkerAnnouncement.JobReportDocument;
import io.burdockpin.codec.json.WorkerAnnouncement.UsageDocument;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.codec.json.WorkerAnnouncementReply.JobOrderDocument;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in worker that breaks the lease and epoch rules of design 8. */
class JobTableTests {

	private static final UsageDocument SIZE = new UsageDocument(2000, 100, 0);

	private final JobTable table = new JobTable(WorkerBehaviour.NORMAL);

	@Test
	void aJobSucceedsAfterTheRunTimeOfItsPayload() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 30_000, start("j-1", 1, "{\"runMillis\":500,\"result\":\"done\"}", true)), 100);
		this.table.advance(599);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		this.table.advance(600);
		Truth.assertThat(onlyReport().phase()).isEqualTo("SUCCEEDED");
		Truth.assertThat(text(onlyReport().contentBase64())).isEqualTo("done");
	}

	@Test
	void aRepeatableJobStopsWithACheckpointWhenItsLeaseEndsCountedFromTheSending() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 1000, start("j-1", 1, "{\"runMillis\":5000}", true)), 400);
		this.table.advance(999);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		this.table.advance(1500);
		Truth.assertThat(onlyReport().phase()).isEqualTo("STOPPED");
		Truth.assertThat(text(onlyReport().contentBase64())).isEqualTo("600");
	}

	@Test
	void aJobThatIsNotRepeatableRunsOnWithoutALease() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 1000, start("j-1", 1, "{\"runMillis\":5000}", false)), 0);
		this.table.advance(4999);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		this.table.advance(5000);
		Truth.assertThat(onlyReport().phase()).isEqualTo("SUCCEEDED");
	}

	@Test
	void aRenewalExtendsTheLeaseOfItsJob() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 1000, start("j-1", 1, "{\"runMillis\":5000}", true)), 0);
		this.table.onSend(2, 800);
		this.table.onReply(new WorkerAnnouncementReply("e1", 2, 1000, List.of("j-1"), List.of(), Optional.empty()),
				900);
		this.table.advance(1799);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		this.table.advance(1800);
		Truth.assertThat(onlyReport().phase()).isEqualTo("STOPPED");
	}

	@Test
	void anOrderWithAnOlderEpochIsRefused() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 30_000, start("j-1", 2, "{\"runMillis\":5000}", true)), 0);
		this.table.onReply(reply(1, 30_000, order("j-1", 1, "STOP")), 100);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		Truth.assertThat(this.table.refusedOrders()).isEqualTo(1);
	}

	@Test
	void aRepeatedStartOrderDoesNotStartTheJobTwice() {
		this.table.onSend(1, 0);
		JobOrderDocument start = start("j-1", 1, "{\"runMillis\":100}", true);
		this.table.onReply(reply(1, 30_000, start), 0);
		this.table.advance(100);
		this.table.onReply(reply(1, 30_000, start), 200);
		Truth.assertThat(this.table.takeChanges()).containsExactly("0 START j-1 1", "100 SUCCEEDED j-1 1").inOrder();
	}

	@Test
	void aThrottledJobTakesLonger() {
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 30_000, start("j-1", 1, "{\"runMillis\":1000}", true)), 0);
		this.table.onReply(reply(1, 30_000, order("j-1", 1, "THROTTLE")), 500);
		Truth.assertThat(this.table.usage().cpuMillicores()).isEqualTo(1000);
		this.table.advance(1499);
		Truth.assertThat(onlyReport().phase()).isEqualTo("RUNNING");
		this.table.advance(1500);
		Truth.assertThat(onlyReport().phase()).isEqualTo("SUCCEEDED");
	}

	@Test
	void aWorkerThatFailsEverythingFailsEachJobAtItsStart() {
		this.table.behaveLike(WorkerBehaviour.FAIL_EVERYTHING);
		this.table.onSend(1, 0);
		this.table.onReply(reply(1, 30_000, start("j-1", 1, "{\"runMillis\":5000}", true)), 0);
		Truth.assertThat(onlyReport().phase()).isEqualTo("FAILED");
	}

	@Test
	void theReportedUsageLags() {
		LaggingUsage usage = new LaggingUsage(1000);
		Truth.assertThat(usage.sample(SIZE, 0).cpuMillicores()).isEqualTo(0);
		Truth.assertThat(usage.sample(new UsageDocument(1, 1, 0), 1000)).isEqualTo(SIZE);
	}

	private JobReportDocument onlyReport() {
		Truth.assertThat(this.table.reports()).hasSize(1);
		return this.table.reports().get(0);
	}

	private static WorkerAnnouncementReply reply(long sequence, long leaseMillis, JobOrderDocument order) {
		return new WorkerAnnouncementReply("e1", sequence, leaseMillis, List.of(), List.of(order), Optional.empty());
	}

	private static JobOrderDocument start(String job, long epoch, String payload, boolean repeatable) {
		return new JobOrderDocument(job, epoch, "START", SIZE, 10_000, repeatable,
				Base64.getEncoder().encodeToString(payload.getBytes(StandardCharsets.UTF_8)), "", 100);
	}

	private static JobOrderDocument order(String job, long epoch, String kind) {
		return new JobOrderDocument(job, epoch, kind, SIZE, 0, true, "", "", 50);
	}

	private static String text(String base64) {
		return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
	}

}
