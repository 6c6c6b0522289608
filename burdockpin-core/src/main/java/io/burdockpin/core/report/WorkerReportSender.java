package io.burdockpin.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.UnchangedWorker;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.placement.UsageBand;

/**
 * Decides which reports of the workers of an entry host are worth a message to the
 * leader. Mutable, owned by one actor. The times given to it must never go back.
 * <p>
 * A report is sent when its boot, its jobs or their phases have changed, when the worker
 * has entered another {@link UsageBand}, when a job uses clearly more than was sent for
 * it, and once after the leader has begun to learn from the usage of a job. An unchanged
 * worker is only named from time to time, so that its leases are renewed. Each batch
 * vouches for the other workers; it is sent often enough for the leader to notice a lost
 * entry host as soon as a lost worker.
 */
public final class WorkerReportSender {

	/**
	 * Workers announce themselves every second. One that has missed an announcement is
	 * named as silent, so the leader, which counts 3 s from the last announcement, is
	 * never told that it is live.
	 */
	static final long SILENT_MILLIS = 1_500;

	/**
	 * With the silence above and a batch period of 250 ms the newest proof that the
	 * leader has of a live worker is at most 2.5 s old, which is below its 3 s.
	 */
	static final long VOUCH_MILLIS = 750;

	/** Leases are renewed at least this often within their duration. */
	private static final int RENEWALS_IN_LEASE = 4;

	/** Without a known capacity a usage is sent when it has changed by a tenth. */
	private static final int CHANGE_DIVISOR = 10;

	private final long unchangedMillis;

	private final Map<HostName, Worker> workers = new TreeMap<>();

	private long leaseMillis = Long.MAX_VALUE;

	private long generation = 1;

	private long number;

	private long sentMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a sender without workers.
	 * @param unchangedMillis how long an unchanged worker is not named
	 */
	public WorkerReportSender(long unchangedMillis) {
		this.unchangedMillis = unchangedMillis;
	}

	/**
	 * Takes the announcement of a worker.
	 * @param report what it reports
	 * @param capacity what the worker has, if it is known
	 * @param nowMillis when the announcement arrived
	 */
	public void announced(WorkerReport report, Optional<Resources> capacity, long nowMillis) {
		Worker worker = this.workers.computeIfAbsent(report.worker(), (name) -> new Worker());
		// A gap shows that the worker has announced itself elsewhere meanwhile.
		boolean gap = worker.latest.filter((last) -> last.sequence() + 1 != report.sequence()).isPresent();
		if (gap) {
			worker.sent = Optional.empty();
		}
		worker.latest = Optional.of(report);
		worker.capacity = capacity;
		worker.heardMillis = nowMillis;
		worker.fresh = true;
	}

	/**
	 * Writes the next batch.
	 * @param nowMillis the current time
	 * @return the batch, or nothing if there is nothing to say now
	 */
	public Optional<WorkerReportBatch> batch(long nowMillis) {
		List<HostName> silent = removeSilent(nowMillis);
		List<WorkerReport> reports = new ArrayList<>();
		List<WorkerReport> unchanged = new ArrayList<>();
		long heardWithinMillis = 0;
		for (Worker worker : this.workers.values()) {
			heardWithinMillis = Math.max(heardWithinMillis, nowMillis - worker.heardMillis);
			if (worker.fresh && worker.isNoticeable(nowMillis)) {
				reports.add(worker.send(nowMillis));
			}
			else if (worker.fresh && nowMillis - worker.namedMillis >= namingMillis()) {
				unchanged.add(worker.latest.get());
			}
			// A worker is named only with news, because the leader counts from the batch.
			worker.fresh = false;
		}
		boolean overdue = unchanged.stream()
			.anyMatch((report) -> this.workers.get(report.worker()).isOverdue(namingMillis(), nowMillis));
		boolean quiet = silent.isEmpty() && reports.isEmpty() && !overdue;
		if (quiet && (this.workers.isEmpty() || nowMillis - this.sentMillis < VOUCH_MILLIS)) {
			return Optional.empty();
		}
		this.sentMillis = nowMillis;
		unchanged.forEach((report) -> this.workers.get(report.worker()).namedMillis = nowMillis);
		List<UnchangedWorker> names = unchanged.stream()
			.map((report) -> new UnchangedWorker(report.worker(), report.sequence()))
			.toList();
		WorkerReports message = new WorkerReports(0, this.generation, this.number++, heardWithinMillis, reports, names,
				silent);
		unchanged.addAll(reports);
		return Optional.of(new WorkerReportBatch(message, unchanged));
	}

	/**
	 * Takes the answer to a batch.
	 * @param batch the batch
	 * @param answer the answer
	 */
	public void answered(WorkerReportBatch batch, WorkerOrders answer) {
		if (answer.leaseMillis() > 0) {
			this.leaseMillis = answer.leaseMillis();
		}
		if (answer.resend()) {
			lost(batch);
		}
	}

	/**
	 * Takes note that it is not known whether the leader got a batch, or that it is
	 * another leader. Everything is sent again with the next announcements.
	 * @param batch the batch
	 */
	public void lost(WorkerReportBatch batch) {
		if (batch.message().generation() == this.generation) {
			this.generation++;
			this.number = 0;
			this.workers.values().forEach(Worker::forgetSent);
		}
	}

	// helpers

	private List<HostName> removeSilent(long nowMillis) {
		List<HostName> silent = new ArrayList<>();
		this.workers.forEach((name, worker) -> {
			if (nowMillis - worker.heardMillis > SILENT_MILLIS) {
				silent.add(name);
			}
		});
		silent.forEach(this.workers::remove);
		return silent;
	}

	private long namingMillis() {
		return Math.min(this.unchangedMillis, this.leaseMillis / RENEWALS_IN_LEASE);
	}

	/** One worker and what the leader has been told of it. */
	private static final class Worker {

		private final Map<JobId, SentJob> jobs = new HashMap<>();

		private Optional<WorkerReport> latest = Optional.empty();

		private Optional<WorkerReport> sent = Optional.empty();

		private Optional<Resources> capacity = Optional.empty();

		private long heardMillis;

		private long namedMillis;

		private boolean fresh;

		private boolean isNoticeable(long nowMillis) {
			return this.sent.filter((before) -> !differs(before, this.latest.get(), nowMillis)).isEmpty();
		}

		private WorkerReport send(long nowMillis) {
			WorkerReport report = this.latest.get();
			this.sent = this.latest;
			this.jobs.keySet().retainAll(report.jobs().stream().map(JobReport::job).toList());
			report.jobs()
				.forEach((job) -> this.jobs.compute(job.job(), (id, before) -> (before != null)
						? before.sent(job, nowMillis) : SentJob.first(job, nowMillis)));
			this.namedMillis = nowMillis;
			return report;
		}

		// Names wait for a batch that is sent anyway, but not for long.
		private boolean isOverdue(long namingMillis, long nowMillis) {
			return nowMillis - this.namedMillis >= namingMillis + namingMillis / 2;
		}

		private void forgetSent() {
			this.sent = Optional.empty();
			this.jobs.replaceAll((id, job) -> job.unsent());
		}

		private boolean differs(WorkerReport before, WorkerReport now, long nowMillis) {
			if (!before.bootId().equals(now.bootId()) || before.jobs().size() != now.jobs().size()
					|| usageDiffers(before.usage(), now.usage())) {
				return true;
			}
			for (int position = 0; position < now.jobs().size(); position++) {
				JobReport job = now.jobs().get(position);
				if (differs(before.jobs().get(position), job)
						|| this.jobs.get(job.job()).isNoticeable(job, nowMillis)) {
					return true;
				}
			}
			return false;
		}

		private static boolean differs(JobReport before, JobReport now) {
			return !before.job().equals(now.job()) || before.leaseEpoch() != now.leaseEpoch()
					|| before.phase() != now.phase() || !before.content().equals(now.content());
		}

		private boolean usageDiffers(Resources before, Resources now) {
			return this.capacity.map((total) -> UsageBand.of(before, total).isLeft(now, total))
				.orElseGet(() -> isApart(before.cpuMillicores(), now.cpuMillicores())
						|| isApart(before.memoryMebibytes(), now.memoryMebibytes()));
		}

		private static boolean isApart(int before, int now) {
			return Math.abs(now - before) > before / CHANGE_DIVISOR;
		}

	}

}
