package io.burdockpin.testbench.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.codec.json.WorkerAnnouncement.JobReportDocument;
import io.burdockpin.codec.json.WorkerAnnouncement.UsageDocument;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.codec.json.WorkerAnnouncementReply.JobOrderDocument;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;

/**
 * Decides what the stand-in worker does with orders and when its jobs end. Leases count
 * from when the worker sent the announcement that the answer names. Orders with an older
 * epoch than one seen before are refused. Mutable; owned by the worker actor.
 */
public final class JobTable {

	/** Announcements older than this are never named in an answer any more. */
	private static final long SENT_KEPT_MILLIS = 120_000;

	private final Map<String, RunningJob> jobs = new LinkedHashMap<>();

	private final Map<String, Long> newestEpochs = new HashMap<>();

	private final LinkedHashMap<Long, Long> sentMillis = new LinkedHashMap<>();

	private final List<String> changes = new ArrayList<>();

	private WorkerBehaviour behaviour;

	private long refusedOrders;

	/**
	 * Creates a table without jobs.
	 * @param behaviour how the worker treats jobs
	 */
	public JobTable(WorkerBehaviour behaviour) {
		this.behaviour = behaviour;
	}

	// configuration

	/**
	 * Switches how later jobs are treated.
	 * @param newBehaviour the new behaviour
	 */
	public void behaveLike(WorkerBehaviour newBehaviour) {
		this.behaviour = newBehaviour;
	}

	// access

	/**
	 * Records that an announcement is being sent.
	 * @param sequence its number
	 * @param nowMillis the time now
	 */
	public void onSend(long sequence, long nowMillis) {
		this.sentMillis.put(sequence, nowMillis);
		this.sentMillis.values().removeIf((sent) -> sent < nowMillis - SENT_KEPT_MILLIS);
	}

	/**
	 * Carries out the renewals and orders of an answer.
	 * @param reply the answer
	 * @param nowMillis the time now
	 */
	public void onReply(WorkerAnnouncementReply reply, long nowMillis) {
		advance(nowMillis);
		Long sent = this.sentMillis.get(reply.sequence());
		long leaseEndMillis = (sent != null) ? sent + reply.leaseMillis() : nowMillis;
		for (String renewed : reply.renewedJobs()) {
			RunningJob job = this.jobs.get(renewed);
			if (job != null) {
				job.renew(leaseEndMillis);
			}
		}
		for (JobOrderDocument order : reply.orders()) {
			onOrder(order, leaseEndMillis, nowMillis);
		}
		advance(nowMillis);
	}

	/**
	 * Lets the jobs run up to a time.
	 * @param nowMillis the time now
	 */
	public void advance(long nowMillis) {
		for (RunningJob job : this.jobs.values()) {
			if (job.running()) {
				job.advance(nowMillis);
				noteEnd(job, nowMillis);
			}
		}
	}

	/**
	 * Stops all jobs with a checkpoint.
	 * @param nowMillis the time now
	 */
	public void stopAll(long nowMillis) {
		advance(nowMillis);
		this.jobs.values().stream().filter(RunningJob::running).forEach((job) -> stop(job, nowMillis));
	}

	/**
	 * Returns what the jobs report.
	 * @return one report for each job
	 */
	public List<JobReportDocument> reports() {
		return this.jobs.values().stream().map(RunningJob::report).toList();
	}

	/**
	 * Returns what the jobs use together.
	 * @return the sum
	 */
	public UsageDocument usage() {
		return this.jobs.values()
			.stream()
			.map(RunningJob::usage)
			.reduce(new UsageDocument(0, 0, 0),
					(left, right) -> new UsageDocument(left.cpuMillicores() + right.cpuMillicores(),
							left.memoryMebibytes() + right.memoryMebibytes(),
							left.accelerators() + right.accelerators()));
	}

	/**
	 * Returns how many jobs run.
	 * @return the number of running jobs
	 */
	public int running() {
		return (int) this.jobs.values().stream().filter(RunningJob::running).count();
	}

	/**
	 * Returns how many orders were refused because of an older epoch.
	 * @return the count
	 */
	public long refusedOrders() {
		return this.refusedOrders;
	}

	/**
	 * Removes and returns the starts and ends since the last call, one line each.
	 * @return lines of time, START or the end phase, job and epoch
	 */
	public List<String> takeChanges() {
		List<String> taken = List.copyOf(this.changes);
		this.changes.clear();
		return taken;
	}

	// helpers

	private void onOrder(JobOrderDocument order, long leaseEndMillis, long nowMillis) {
		long newestEpoch = this.newestEpochs.getOrDefault(order.job(), 0L);
		if (order.leaseEpoch() < newestEpoch) {
			this.refusedOrders++;
			return;
		}
		this.newestEpochs.put(order.job(), order.leaseEpoch());
		if (JobOrderKind.valueOf(order.kind()) == JobOrderKind.START) {
			start(order, newestEpoch, leaseEndMillis, nowMillis);
		}
		else if (this.jobs.containsKey(order.job())) {
			change(order, this.jobs.get(order.job()), nowMillis);
		}
	}

	private void start(JobOrderDocument order, long newestEpoch, long leaseEndMillis, long nowMillis) {
		if (order.leaseEpoch() == newestEpoch) {
			return;
		}
		RunningJob earlier = this.jobs.get(order.job());
		if (earlier != null && earlier.running()) {
			stop(earlier, nowMillis);
		}
		RunningJob job = new RunningJob(order, this.behaviour, leaseEndMillis, nowMillis);
		this.jobs.put(order.job(), job);
		note("START", job, nowMillis);
	}

	private void change(JobOrderDocument order, RunningJob job, long nowMillis) {
		switch (JobOrderKind.valueOf(order.kind())) {
			case STOP -> {
				if (job.running()) {
					stop(job, nowMillis);
				}
			}
			case CHECKPOINT -> job.checkpoint(nowMillis);
			case THROTTLE -> job.throttle(order.throttlePercent(), nowMillis);
			case FORGET -> {
				if (!job.running()) {
					this.jobs.remove(order.job());
				}
			}
			default -> throw new IllegalStateException("not a change: " + order.kind());
		}
	}

	private void stop(RunningJob job, long nowMillis) {
		job.stop(nowMillis);
		noteEnd(job, nowMillis);
	}

	private void noteEnd(RunningJob job, long nowMillis) {
		if (job.phase() != JobPhase.RUNNING) {
			note(job.phase().name(), job, nowMillis);
		}
	}

	private void note(String what, RunningJob job, long nowMillis) {
		this.changes.add("%d %s %s %d".formatted(nowMillis, what, job.job(), job.leaseEpoch()));
	}

}
