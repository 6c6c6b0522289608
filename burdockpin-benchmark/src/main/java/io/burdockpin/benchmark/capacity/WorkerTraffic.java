package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.report.LiveWorker;
import io.burdockpin.core.report.WorkerReportBatch;
import io.burdockpin.core.report.WorkerReportReceiver;
import io.burdockpin.core.report.WorkerReportSender;

/** The workers of one entry host and its batches to the leader. Mutable. */
final class WorkerTraffic {

	private static final long UNCHANGED_MILLIS = 5_000;

	private static final long LEASE_MILLIS = 30_000;

	private static final long ANNOUNCE_MILLIS = 1_000;

	private static final long RUN_MILLIS = 600_000;

	private static final int PAYLOAD_BYTES = 1_024;

	private static final Resources CAPACITY = new Resources(64_000, 256 * 1024, 0);

	private static final Resources MEAN_USAGE = new Resources(6_000, 24 * 1024, 0);

	private final int entryNumber;

	private final TrafficRates rates;

	private final RandomGenerator random;

	private final WorkerReportSender sender = new WorkerReportSender(UNCHANGED_MILLIS);

	private final List<Worker> workers = new ArrayList<>();

	private long jobCount;

	WorkerTraffic(int entryNumber, int workerCount, TrafficRates rates, RandomGenerator random) {
		this.entryNumber = entryNumber;
		this.rates = rates;
		this.random = random;
		for (int number = 0; number < workerCount; number++) {
			this.workers.add(new Worker(entryNumber * workerCount + number));
		}
	}

	// Lets the workers announce themselves whose time it is.
	void announce(long nowMillis, long stepMillis) {
		for (Worker worker : this.workers) {
			if ((nowMillis + worker.number * stepMillis) % ANNOUNCE_MILLIS < stepMillis) {
				this.sender.onAnnouncement(worker.report(), Optional.of(CAPACITY), nowMillis);
			}
		}
	}

	Optional<WorkerReportBatch> batch(long nowMillis) {
		return this.sender.nextBatch(nowMillis);
	}

	// Answers as the leader does: an ended job is forgotten and another one started.
	WorkerOrders answer(WorkerReportReceiver receiver, WorkerReportBatch batch, long nowMillis) {
		WorkerReportReceiver.ReceivedBatch reception = receiver
			.receive(SampleFleet.holder(this.entryNumber), batch.message(), nowMillis)
			.orElseThrow();
		List<WorkerOrder> orders = new ArrayList<>();
		for (LiveWorker heard : reception.workers()) {
			List<JobOrder> jobOrders = new ArrayList<>();
			for (JobReport job : heard.report().jobs()) {
				if (heard.reconciliationDue() && job.phase() == JobPhase.SUCCEEDED) {
					jobOrders.add(order(job.job(), JobOrderKind.FORGET, Payload.EMPTY));
					jobOrders.add(order(nextJob(), JobOrderKind.START, Payload.of(new byte[PAYLOAD_BYTES])));
				}
			}
			WorkerOrder order = new WorkerOrder(heard.report().worker(), heard.report().sequence(), LEASE_MILLIS,
					heard.report().runningJobs(), jobOrders);
			if (heard.needsExplicitOrder(order)) {
				orders.add(order);
			}
		}
		return new WorkerOrders(4_711, LEASE_MILLIS, reception.resend(), orders);
	}

	void answered(WorkerReportBatch batch, WorkerOrders answer) {
		this.sender.onReply(batch, answer);
		answer.orders().forEach((order) -> {
			if (!order.orders().isEmpty()) {
				this.workers.stream()
					.filter((worker) -> SampleFleet.worker(worker.number).equals(order.worker()))
					.forEach((worker) -> worker.obey(order));
			}
		});
	}

	private JobId nextJob() {
		return new JobId("j-%016x".formatted(this.entryNumber * 1_000_000L + this.jobCount++));
	}

	private static JobOrder order(JobId job, JobOrderKind kind, Payload content) {
		return new JobOrder(job, 1, kind, new Resources(8_000, 32 * 1024, 0), RUN_MILLIS, true, content, Payload.EMPTY,
				0);
	}

	private final class Worker {

		private final int number;

		private final List<Job> jobs = new ArrayList<>();

		private long sequence;

		private Worker(int number) {
			this.number = number;
			for (int job = 0; job < WorkerTraffic.this.rates.jobsPerWorker(); job++) {
				this.jobs.add(new Job(nextJob()));
			}
		}

		private ClientMessage.WorkerReport report() {
			List<JobReport> reports = this.jobs.stream().map(Job::report).toList();
			Resources usage = reports.stream().map(JobReport::usage).reduce(Resources.NONE, Resources::plus);
			return new WorkerReport(SampleFleet.worker(this.number), "boot-1", ++this.sequence, usage, reports);
		}

		private void obey(WorkerOrder order) {
			for (JobOrder jobOrder : order.orders()) {
				if (jobOrder.kind() == JobOrderKind.FORGET) {
					this.jobs.removeIf((job) -> job.id.equals(jobOrder.job()));
				}
				else {
					this.jobs.add(new Job(jobOrder.job()));
				}
			}
		}

	}

	private final class Job {

		private final JobId id;

		private final double scale = 0.5 + WorkerTraffic.this.random.nextDouble();

		private JobPhase phase = JobPhase.RUNNING;

		private Job(JobId id) {
			this.id = id;
		}

		private JobReport report() {
			RandomGenerator random = WorkerTraffic.this.random;
			if (random.nextDouble() < (double) ANNOUNCE_MILLIS / WorkerTraffic.this.rates.meanJobMillis()) {
				this.phase = JobPhase.SUCCEEDED;
			}
			double noise = 1 + WorkerTraffic.this.rates.usageNoise() * random.nextGaussian();
			double factor = Math.max(0, this.scale * noise);
			Resources usage = new Resources((int) (MEAN_USAGE.cpuMillicores() * factor),
					(int) (MEAN_USAGE.memoryMebibytes() * factor), 0);
			return new JobReport(this.id, 1, this.phase, usage, Payload.EMPTY);
		}

	}

}
