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
 * Decides which worker reports an entry host sends to the leader. Not thread-safe; owned
 * by one actor. The times passed to it must not decrease.
 * <p>
 * A report is sent when the boot identifier, the jobs or their phases have changed, when
 * the worker has entered another {@link UsageBand}, when a job uses clearly more than was
 * last sent for it, and once after the settle time of each job, when the leader starts to
 * use its usage. An unchanged worker is only named periodically, so that its leases are
 * renewed. Each batch also confirms that all workers which it does not name are live.
 * Batches are sent often enough for the leader to detect a lost entry host as soon as a
 * lost worker.
 */
public final class WorkerReportSender {

	/**
	 * Workers announce themselves every second. A worker that has missed an announcement
	 * is named as silent before the liveness timeout of the leader, 3 s after the last
	 * announcement, so its liveness is never confirmed by mistake.
	 */
	static final long SILENCE_TIMEOUT_MILLIS = 1_500;

	/**
	 * Maximum time between two batches. Together with the silence timeout and a batch
	 * period of 250 ms, the last known contact of a live worker is at most 2.5 s old at
	 * the leader, which is below its liveness timeout of 3 s.
	 */
	static final long KEEPALIVE_MILLIS = 750;

	/** Minimum number of renewals within the duration of a lease. */
	private static final int RENEWALS_IN_LEASE = 4;

	/**
	 * If the capacity of a worker is unknown, its usage is sent after a change of more
	 * than one tenth.
	 */
	private static final int CHANGE_DIVISOR = 10;

	private final long maximumNamingMillis;

	private final Map<HostName, Worker> workers = new TreeMap<>();

	private long leaseMillis = Long.MAX_VALUE;

	private long generation = 1;

	private long nextNumber;

	private long lastSentMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a sender without workers.
	 * @param maximumNamingMillis maximum interval at which an unchanged worker is named;
	 * shorter if its leases require it
	 */
	public WorkerReportSender(long maximumNamingMillis) {
		this.maximumNamingMillis = maximumNamingMillis;
	}

	/**
	 * Handles the announcement of a worker.
	 * @param report the report in the announcement
	 * @param capacity the capacity of the worker, or empty if it is unknown
	 * @param nowMillis when the announcement arrived
	 */
	public void onAnnouncement(WorkerReport report, Optional<Resources> capacity, long nowMillis) {
		Worker worker = this.workers.computeIfAbsent(report.worker(), (name) -> new Worker());
		// A gap means that the worker has announced itself to another entry host
		// meanwhile.
		boolean gap = worker.latest.filter((last) -> last.sequence() + 1 != report.sequence()).isPresent();
		if (gap) {
			worker.lastSent = Optional.empty();
		}
		worker.latest = Optional.of(report);
		worker.capacity = capacity;
		worker.lastAnnouncedMillis = nowMillis;
		worker.announcedSinceBatch = true;
	}

	/**
	 * Creates the next batch.
	 * @param nowMillis the current time
	 * @return the batch, or empty if no batch is due
	 */
	public Optional<WorkerReportBatch> nextBatch(long nowMillis) {
		List<HostName> silent = removeSilent(nowMillis);
		List<WorkerReport> reports = new ArrayList<>();
		List<WorkerReport> unchanged = new ArrayList<>();
		long longestSilenceMillis = 0;
		for (Worker worker : this.workers.values()) {
			longestSilenceMillis = Math.max(longestSilenceMillis, nowMillis - worker.lastAnnouncedMillis);
			if (worker.announcedSinceBatch && worker.hasReportableChange(nowMillis)) {
				reports.add(worker.send(nowMillis));
			}
			else if (worker.announcedSinceBatch && nowMillis - worker.lastNamedMillis >= namingMillis()) {
				unchanged.add(worker.latest.get());
			}
			// A worker is named only after a new announcement, because for the leader the
			// arrival of the batch counts as contact with the worker.
			worker.announcedSinceBatch = false;
		}
		boolean overdue = unchanged.stream()
			.anyMatch((report) -> this.workers.get(report.worker()).isNamingOverdue(namingMillis(), nowMillis));
		boolean quiet = silent.isEmpty() && reports.isEmpty() && !overdue;
		if (quiet && (this.workers.isEmpty() || nowMillis - this.lastSentMillis < KEEPALIVE_MILLIS)) {
			return Optional.empty();
		}
		this.lastSentMillis = nowMillis;
		unchanged.forEach((report) -> this.workers.get(report.worker()).lastNamedMillis = nowMillis);
		List<UnchangedWorker> names = unchanged.stream()
			.map((report) -> new UnchangedWorker(report.worker(), report.sequence()))
			.toList();
		WorkerReports message = new WorkerReports(0, this.generation, this.nextNumber++, longestSilenceMillis, reports,
				names, silent);
		unchanged.addAll(reports);
		return Optional.of(new WorkerReportBatch(message, unchanged));
	}

	/**
	 * Handles the reply to a batch.
	 * @param batch the batch that was sent
	 * @param reply the reply of the leader
	 */
	public void onReply(WorkerReportBatch batch, WorkerOrders reply) {
		if (reply.leaseMillis() > 0) {
			this.leaseMillis = reply.leaseMillis();
		}
		if (reply.resend()) {
			onBatchLost(batch);
		}
	}

	/**
	 * Handles a batch of which it is unknown whether the leader received it, or after
	 * which the leader has changed. All reports are sent again with the next
	 * announcements.
	 * @param batch the batch that was possibly lost
	 */
	public void onBatchLost(WorkerReportBatch batch) {
		if (batch.message().generation() == this.generation) {
			this.generation++;
			this.nextNumber = 0;
			this.workers.values().forEach(Worker::forgetSent);
		}
	}

	// helpers

	private List<HostName> removeSilent(long nowMillis) {
		List<HostName> silent = new ArrayList<>();
		this.workers.forEach((name, worker) -> {
			if (nowMillis - worker.lastAnnouncedMillis > SILENCE_TIMEOUT_MILLIS) {
				silent.add(name);
			}
		});
		silent.forEach(this.workers::remove);
		return silent;
	}

	private long namingMillis() {
		return Math.min(this.maximumNamingMillis, this.leaseMillis / RENEWALS_IN_LEASE);
	}

	/** Worker with its latest report and the last one that was sent. */
	private static final class Worker {

		private final Map<JobId, SentJobUsage> jobs = new HashMap<>();

		private Optional<WorkerReport> latest = Optional.empty();

		private Optional<WorkerReport> lastSent = Optional.empty();

		private Optional<Resources> capacity = Optional.empty();

		private long lastAnnouncedMillis;

		private long lastNamedMillis;

		private boolean announcedSinceBatch;

		private boolean hasReportableChange(long nowMillis) {
			return this.lastSent.filter((before) -> !differs(before, this.latest.get(), nowMillis)).isEmpty();
		}

		private WorkerReport send(long nowMillis) {
			WorkerReport report = this.latest.get();
			this.lastSent = this.latest;
			this.jobs.keySet().retainAll(report.jobs().stream().map(JobReport::job).toList());
			report.jobs()
				.forEach((job) -> this.jobs.compute(job.job(), (id, before) -> (before != null)
						? before.withSent(job, nowMillis) : SentJobUsage.first(job, nowMillis)));
			this.lastNamedMillis = nowMillis;
			return report;
		}

		// Names are added to a batch that is due anyway. They cause a batch only when the
		// interval is exceeded by half.
		private boolean isNamingOverdue(long namingMillis, long nowMillis) {
			return nowMillis - this.lastNamedMillis >= namingMillis + namingMillis / 2;
		}

		private void forgetSent() {
			this.lastSent = Optional.empty();
			this.jobs.replaceAll((id, job) -> job.withoutSent());
		}

		private boolean differs(WorkerReport before, WorkerReport now, long nowMillis) {
			if (!before.bootId().equals(now.bootId()) || before.jobs().size() != now.jobs().size()
					|| usageDiffers(before.usage(), now.usage())) {
				return true;
			}
			for (int position = 0; position < now.jobs().size(); position++) {
				JobReport job = now.jobs().get(position);
				if (differs(before.jobs().get(position), job)
						|| this.jobs.get(job.job()).isReportable(job, nowMillis)) {
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
			return this.capacity.map((total) -> UsageBand.of(before, total).isOutside(now, total))
				.orElseGet(() -> differsByTenth(before.cpuMillicores(), now.cpuMillicores())
						|| differsByTenth(before.memoryMebibytes(), now.memoryMebibytes()));
		}

		private static boolean differsByTenth(int before, int now) {
			return Math.abs(now - before) > before / CHANGE_DIVISOR;
		}

	}

}
