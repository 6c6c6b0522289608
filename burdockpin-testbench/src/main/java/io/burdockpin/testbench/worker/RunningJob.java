package io.burdockpin.testbench.worker;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

import io.burdockpin.codec.json.WorkerAnnouncement.JobReportDocument;
import io.burdockpin.codec.json.WorkerAnnouncement.UsageDocument;
import io.burdockpin.codec.json.WorkerAnnouncementReply.JobOrderDocument;
import io.burdockpin.core.client.JobPhase;

/**
 * One job on the stand-in worker. Its progress is a number of milliseconds that grows
 * with the share of the processor it has. Mutable; owned by a {@link JobTable}.
 */
final class RunningJob {

	private static final int FULL_PERCENT = 100;

	private final JobOrderDocument order;

	private final JobPayload payload;

	private final JobBehaviour behaviour;

	private final long wantedMillis;

	private JobPhase phase = JobPhase.RUNNING;

	private String contentBase64 = "";

	private int throttlePercent = FULL_PERCENT;

	private double progressMillis;

	private long progressedAtMillis;

	private long leaseEndMillis;

	RunningJob(JobOrderDocument order, WorkerBehaviour worker, long leaseEndMillis, long nowMillis) {
		this.order = order;
		this.payload = JobPayload.parse(decode(order.contentBase64()));
		this.behaviour = worker.apply(this.payload.behaviour().orElse(JobBehaviour.SUCCEED));
		this.wantedMillis = this.behaviour.runMillis(this.payload.runMillis().orElse(order.runMillis()));
		this.progressMillis = checkpointMillis(order.checkpointBase64());
		this.progressedAtMillis = nowMillis;
		this.leaseEndMillis = leaseEndMillis;
	}

	// access

	String job() {
		return this.order.job();
	}

	long leaseEpoch() {
		return this.order.leaseEpoch();
	}

	boolean running() {
		return this.phase == JobPhase.RUNNING;
	}

	JobPhase phase() {
		return this.phase;
	}

	JobReportDocument report() {
		return new JobReportDocument(job(), leaseEpoch(), this.phase.name(), usage(), this.contentBase64);
	}

	UsageDocument usage() {
		if (!running()) {
			return new UsageDocument(0, 0, 0);
		}
		int percent = this.payload.usagePercent().orElse(FULL_PERCENT);
		UsageDocument declared = this.order.resources();
		return new UsageDocument(
				declared.cpuMillicores() * percent / FULL_PERCENT * this.throttlePercent / FULL_PERCENT,
				declared.memoryMebibytes() * percent / FULL_PERCENT, declared.accelerators());
	}

	// life cycle

	void renew(long newLeaseEndMillis) {
		this.leaseEndMillis = Math.max(this.leaseEndMillis, newLeaseEndMillis);
	}

	void throttle(int percent, long nowMillis) {
		advance(nowMillis);
		this.throttlePercent = percent;
	}

	/**
	 * Advances the job. It stops with a checkpoint when its lease has ended and it may be
	 * started again elsewhere.
	 * @param nowMillis the time now
	 */
	void advance(long nowMillis) {
		if (!running()) {
			return;
		}
		if (this.order.repeatable() && nowMillis >= this.leaseEndMillis) {
			stop(this.leaseEndMillis);
			return;
		}
		progressTo(nowMillis);
		if (this.progressMillis >= this.wantedMillis) {
			end();
		}
	}

	void checkpoint(long nowMillis) {
		progressTo(nowMillis);
		this.contentBase64 = encode(Long.toString((long) this.progressMillis));
	}

	void stop(long atMillis) {
		checkpoint(atMillis);
		this.phase = JobPhase.STOPPED;
	}

	// helpers

	private void progressTo(long atMillis) {
		long elapsedMillis = Math.max(0, atMillis - this.progressedAtMillis);
		this.progressMillis += (double) elapsedMillis * this.throttlePercent / FULL_PERCENT;
		this.progressedAtMillis = Math.max(this.progressedAtMillis, atMillis);
	}

	private void end() {
		this.phase = this.behaviour.endPhase();
		this.contentBase64 = this.payload.result().map(RunningJob::encode).orElse(this.order.contentBase64());
	}

	private static long checkpointMillis(String checkpointBase64) {
		String text = new String(decode(checkpointBase64), StandardCharsets.UTF_8);
		return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static byte[] decode(String base64) {
		return (base64 != null) ? Base64.getDecoder().decode(base64) : new byte[0];
	}

}
