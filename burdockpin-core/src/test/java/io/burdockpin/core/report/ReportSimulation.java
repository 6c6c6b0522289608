package io.burdockpin.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.report.WorkerReportReceiver.ReceivedBatch;

/**
 * Simulates workers, two entry hosts and a leader in virtual time. The network loses,
 * duplicates and reorders batches and loses and reorders replies. Workers move, reboot,
 * and start and end jobs; entry hosts freeze; leaders are replaced.
 */
final class ReportSimulation {

	static final long STEP_MILLIS = 50;

	private static final int WORKERS = 12;

	private static final int MAXIMUM_VIOLATIONS = 5;

	private static final long TICK_MILLIS = 250;

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long LONGEST_DELAY_MILLIS = 400;

	private static final Resources CAPACITY = new Resources(4_000, 4_096, 0);

	final List<String> violations = new ArrayList<>();

	int liveWorkerCount;

	private final RandomGenerator random;

	private final ReportFault fault;

	private final boolean faulty;

	private final List<Worker> workers = new ArrayList<>();

	private final List<EntryHost> entries = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			(first, second) -> Long.compare(first.atMillis(), second.atMillis()));

	private final Map<HostName, Long> renewedMillis = new HashMap<>();

	private WorkerReportReceiver receiver = new WorkerReportReceiver();

	private long nowMillis = 1_000_000;

	ReportSimulation(RandomGenerator random, ReportFault fault, boolean faulty) {
		this.random = random;
		this.fault = fault;
		this.faulty = faulty;
		for (int number = 0; number < WORKERS; number++) {
			this.workers.add(new Worker(number));
		}
		this.entries.add(new EntryHost(1));
		this.entries.add(new EntryHost(2));
	}

	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			while (!this.events.isEmpty() && this.events.peek().atMillis() <= this.nowMillis) {
				this.events.poll().action().run();
			}
			this.workers.forEach(Worker::step);
			this.entries.forEach(EntryHost::step);
			if (this.faulty && chance(0.001)) {
				this.receiver = new WorkerReportReceiver();
				this.renewedMillis.clear();
			}
		}
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, action));
	}

	private long delayMillis() {
		return this.faulty ? this.random.nextLong(LONGEST_DELAY_MILLIS) : 0;
	}

	private void deliver(EntryHost entry, WorkerReportBatch batch, Map<HostName, WorkerReport> announcedReports) {
		Optional<ReceivedBatch> received = this.receiver.receive(entry.holder, this.fault.apply(batch.message()),
				this.nowMillis);
		if (received.isEmpty()) {
			return;
		}
		List<WorkerOrder> orders = new ArrayList<>();
		for (LiveWorker live : received.get().workers()) {
			this.liveWorkerCount++;
			check(live, announcedReports);
			this.renewedMillis.put(live.report().worker(), live.lastContactMillis());
		}
		WorkerOrders reply = new WorkerOrders(1, 30_000, received.get().resend(), orders);
		Map<HostName, Long> renewals = new HashMap<>(this.renewedMillis);
		if (!this.faulty || !chance(0.03)) {
			schedule(delayMillis(), () -> entry.answered(batch, reply, renewals));
		}
	}

	private void check(LiveWorker live, Map<HostName, WorkerReport> announcedReports) {
		Worker worker = this.workers.get(Integer.parseInt(live.report().worker().value().substring(1)));
		if (live.lastContactMillis() > worker.lastAnnouncedMillis + TICK_MILLIS + LONGEST_DELAY_MILLIS + STEP_MILLIS) {
			violation("last contact with %s is %d ms after its last announcement".formatted(worker.name,
					live.lastContactMillis() - worker.lastAnnouncedMillis));
		}
		WorkerReport announced = announcedReports.get(live.report().worker());
		if (announced == null) {
			violation("%s counts as live although its entry host has removed it".formatted(worker.name));
		}
		else if (!jobs(announced).equals(jobs(live.report())) || !announced.bootId().equals(live.report().bootId())) {
			violation("%s has a stale report".formatted(worker.name));
		}
	}

	private void violation(String text) {
		if (this.violations.size() < MAXIMUM_VIOLATIONS) {
			this.violations.add(text);
		}
	}

	private static List<String> jobs(WorkerReport report) {
		return report.jobs().stream().map((job) -> job.job() + " " + job.phase()).toList();
	}

	private record Event(long atMillis, Runnable action) {
	}

	/** Entry host that sends batches. */
	private final class EntryHost {

		private final Holder holder;

		private final WorkerReportSender sender = new WorkerReportSender(5_000);

		private final Map<HostName, WorkerReport> latest = new TreeMap<>();

		private final List<WorkerReportBatch> answered = new ArrayList<>();

		private long nextTickMillis;

		private boolean frozen;

		private EntryHost(int number) {
			this.holder = new Holder(new HostName("entry-" + number), 1);
		}

		private void step() {
			if (ReportSimulation.this.nowMillis < this.nextTickMillis) {
				return;
			}
			this.frozen = ReportSimulation.this.faulty && chance(0.003);
			this.nextTickMillis = ReportSimulation.this.nowMillis + (this.frozen ? 5_000 : TICK_MILLIS);
			if (!this.frozen) {
				this.sender.nextBatch(ReportSimulation.this.nowMillis).ifPresent(this::send);
			}
		}

		private void send(WorkerReportBatch batch) {
			batch.message().silent().forEach(this.latest::remove);
			Map<HostName, WorkerReport> announcedReports = new HashMap<>(this.latest);
			int copies = (ReportSimulation.this.faulty && chance(0.05)) ? this.copies() : 1;
			for (int copy = 0; copy < copies; copy++) {
				schedule(delayMillis(), () -> deliver(this, batch, announcedReports));
			}
			schedule(TIMEOUT_MILLIS, () -> timedOut(batch));
		}

		private int copies() {
			return chance(0.5) ? 0 : 2;
		}

		private void timedOut(WorkerReportBatch batch) {
			if (!this.answered.contains(batch)) {
				this.sender.onBatchLost(batch);
			}
			this.answered.remove(batch);
		}

		private void answered(WorkerReportBatch batch, WorkerOrders answer, Map<HostName, Long> renewals) {
			this.answered.add(batch);
			this.sender.onReply(batch, answer);
			for (WorkerOrder order : batch.expandOrders(answer)) {
				Worker worker = ReportSimulation.this.workers
					.get(Integer.parseInt(order.worker().value().substring(1)));
				long announcedMillis = worker.announcedMillis.get(order.sequence());
				if (renewals.getOrDefault(order.worker(), Long.MAX_VALUE) < announcedMillis) {
					violation("%s holds a lease for longer than the leader assumes".formatted(worker.name));
				}
			}
		}

	}

	/** Worker with one job that changes occasionally. */
	private final class Worker {

		private final HostName name;

		private final Map<Long, Long> announcedMillis = new HashMap<>();

		private long nextMillis;

		private long lastAnnouncedMillis;

		private long sequence;

		private int entry;

		private int boot = 1;

		private int job = 1;

		private JobPhase phase = JobPhase.RUNNING;

		private Worker(int number) {
			this.name = new HostName("w" + number);
			this.nextMillis = ReportSimulation.this.nowMillis + 50L * number;
		}

		private void step() {
			if (ReportSimulation.this.nowMillis < this.nextMillis) {
				return;
			}
			this.nextMillis = ReportSimulation.this.nowMillis + 1_000;
			if (ReportSimulation.this.faulty) {
				changeState();
			}
			EntryHost host = ReportSimulation.this.entries.get(this.entry);
			if (host.frozen) {
				this.sequence++;
				return;
			}
			Resources usage = new Resources(1_000 + ReportSimulation.this.random.nextInt(100), 100, 0);
			WorkerReport report = new WorkerReport(this.name, "boot-" + this.boot, ++this.sequence, usage,
					List.of(new JobReport(new JobId("j-" + this.job), 1, this.phase, usage, Payload.EMPTY)));
			this.announcedMillis.put(this.sequence, ReportSimulation.this.nowMillis);
			this.lastAnnouncedMillis = ReportSimulation.this.nowMillis;
			host.latest.put(this.name, report);
			host.sender.onAnnouncement(report, Optional.of(CAPACITY), ReportSimulation.this.nowMillis);
		}

		private void changeState() {
			if (chance(0.05)) {
				this.phase = (this.phase == JobPhase.RUNNING) ? JobPhase.SUCCEEDED : JobPhase.RUNNING;
				this.job += (this.phase == JobPhase.RUNNING) ? 1 : 0;
			}
			if (chance(0.03)) {
				this.entry = 1 - this.entry;
			}
			if (chance(0.02)) {
				this.boot++;
				this.nextMillis += 8_000;
			}
		}

	}

}
