package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * A worker at the interface of reports and orders. Mutable, used by one thread.
 * <p>
 * Orders that answer one report arrive with the next one, because the entry host passes
 * them on then.
 */
public final class VirtualWorker {

	private static final int FULL_PERCENT = 100;

	private static final long FAILURE_MILLIS = 500;

	private final HostSpec host;

	private final Function<JobId, JobTruth> truths;

	private final Map<JobId, Task> tasks = new LinkedHashMap<>();

	private final Map<JobId, Long> newestEpochs = new HashMap<>();

	private final Map<Long, Long> reportTimes = new HashMap<>();

	private Optional<WorkerOrder> arriving = Optional.empty();

	private int boot = 1;

	private long sequence;

	private boolean up = true;

	private boolean failsEverything;

	VirtualWorker(HostSpec host, Function<JobId, JobTruth> truths) {
		this.host = host;
		this.truths = truths;
	}

	// life cycle

	/** Loses everything, as a host that loses power. */
	void crash() {
		this.up = false;
		this.tasks.clear();
		this.newestEpochs.clear();
		this.reportTimes.clear();
		this.arriving = Optional.empty();
	}

	/** Starts again with a new boot identifier. */
	void reboot() {
		crash();
		this.boot++;
		this.up = true;
	}

	void setFailsEverything(boolean failsEverything) {
		this.failsEverything = failsEverything;
	}

	/**
	 * Lets the tasks run on and stops those whose lease has ended.
	 * @param fromMillis start of the step
	 * @param toMillis end of the step
	 */
	void advance(long fromMillis, long toMillis) {
		double speed = speed();
		for (Task task : this.tasks.values()) {
			if (task.phase == JobPhase.RUNNING) {
				advance(task, speed, fromMillis, toMillis);
			}
		}
		stopForMemory();
	}

	/**
	 * Carries out the orders that arrive with this report.
	 * @param nowMillis the virtual time
	 * @return jobs that were started
	 */
	List<JobId> receiveOrders(long nowMillis) {
		List<JobId> started = new ArrayList<>();
		this.arriving.ifPresent((order) -> {
			long reportedMillis = this.reportTimes.getOrDefault(order.sequence(), nowMillis);
			order.renewed().forEach((job) -> renew(job, reportedMillis + order.leaseMillis()));
			for (JobOrder jobOrder : order.orders()) {
				if (carryOut(jobOrder, nowMillis + order.leaseMillis(), nowMillis)) {
					started.add(jobOrder.job());
				}
			}
		});
		this.arriving = Optional.empty();
		return started;
	}

	WorkerReport report(long nowMillis) {
		this.sequence++;
		this.reportTimes.clear();
		this.reportTimes.put(this.sequence, nowMillis);
		List<JobReport> jobs = this.tasks.values().stream().map(Task::toReport).toList();
		return new WorkerReport(this.host.name(), "boot-" + this.boot, this.sequence, usage(), jobs);
	}

	void answer(WorkerOrder order) {
		this.arriving = Optional.of(order);
	}

	// access

	HostSpec host() {
		return this.host;
	}

	boolean isUp() {
		return this.up;
	}

	/**
	 * Returns the jobs that run now.
	 * @return their identifiers
	 */
	public List<JobId> running() {
		return this.tasks.values()
			.stream()
			.filter((task) -> task.phase == JobPhase.RUNNING)
			.map((task) -> task.truth.job())
			.toList();
	}

	/**
	 * Returns what the running jobs use, limited to the capacity.
	 * @return the used processor capacity in millicores
	 */
	double usedMillicores() {
		return Math.min(this.host.capacity().cpuMillicores(), demandedMillicores());
	}

	// helpers

	private Resources usage() {
		Resources sum = Resources.NONE;
		for (Task task : this.tasks.values()) {
			if (task.phase == JobPhase.RUNNING) {
				sum = sum.plus(task.throttledUsage());
			}
		}
		return sum;
	}

	private double demandedMillicores() {
		return usage().cpuMillicores();
	}

	private double speed() {
		double demanded = demandedMillicores();
		double capacity = this.host.capacity().cpuMillicores();
		return (demanded > capacity) ? capacity / demanded : 1;
	}

	private void advance(Task task, double speed, long fromMillis, long toMillis) {
		if (this.failsEverything && toMillis - task.startedMillis >= FAILURE_MILLIS) {
			task.phase = JobPhase.FAILED;
			return;
		}
		task.remainingMillis -= (toMillis - fromMillis) * speed * task.throttlePercent / FULL_PERCENT;
		if (task.remainingMillis <= 0) {
			task.phase = JobPhase.SUCCEEDED;
		}
		else if (task.truth.spec().repeatable() && toMillis >= task.leaseEndMillis) {
			task.phase = JobPhase.STOPPED;
		}
	}

	/** Stops the newest repeatable tasks while the memory does not suffice. */
	private void stopForMemory() {
		List<Task> all = new ArrayList<>(this.tasks.values());
		for (int position = all.size() - 1; position >= 0; position--) {
			if (usage().memoryMebibytes() <= this.host.capacity().memoryMebibytes()) {
				return;
			}
			Task task = all.get(position);
			if (task.phase == JobPhase.RUNNING && task.truth.spec().repeatable()) {
				task.phase = JobPhase.STOPPED;
			}
		}
	}

	private void renew(JobId job, long leaseEndMillis) {
		Task task = this.tasks.get(job);
		if (task != null) {
			task.leaseEndMillis = leaseEndMillis;
		}
	}

	private boolean carryOut(JobOrder order, long leaseEndMillis, long nowMillis) {
		if (order.leaseEpoch() < this.newestEpochs.getOrDefault(order.job(), 0L)) {
			return false;
		}
		if (order.kind() == JobOrderKind.START) {
			return start(order, leaseEndMillis, nowMillis);
		}
		Task task = this.tasks.get(order.job());
		if (task == null) {
			return false;
		}
		if (order.kind() == JobOrderKind.STOP) {
			task.stop();
		}
		else if (order.kind() == JobOrderKind.THROTTLE) {
			task.throttlePercent = order.throttlePercent();
		}
		else if (order.kind() == JobOrderKind.FORGET) {
			this.tasks.remove(order.job());
		}
		return false;
	}

	private boolean start(JobOrder order, long leaseEndMillis, long nowMillis) {
		if (order.leaseEpoch() <= this.newestEpochs.getOrDefault(order.job(), 0L)) {
			return false;
		}
		this.newestEpochs.put(order.job(), order.leaseEpoch());
		this.tasks.put(order.job(), new Task(this.truths.apply(order.job()), order, leaseEndMillis, nowMillis));
		return true;
	}

	/** A job on this worker. */
	private static final class Task {

		private final JobTruth truth;

		private final long leaseEpoch;

		private final long startedMillis;

		private JobPhase phase = JobPhase.RUNNING;

		private double remainingMillis;

		private long leaseEndMillis;

		private int throttlePercent = FULL_PERCENT;

		private Task(JobTruth truth, JobOrder start, long leaseEndMillis, long nowMillis) {
			this.truth = truth;
			this.leaseEpoch = start.leaseEpoch();
			this.startedMillis = nowMillis;
			this.leaseEndMillis = leaseEndMillis;
			this.remainingMillis = remainingAfter(truth, start.checkpoint());
		}

		private void stop() {
			if (this.phase == JobPhase.RUNNING) {
				this.phase = JobPhase.STOPPED;
			}
		}

		private Resources throttledUsage() {
			int cpuMillicores = this.truth.usage().cpuMillicores() * this.throttlePercent / FULL_PERCENT;
			return new Resources(cpuMillicores, this.truth.usage().memoryMebibytes(), 0);
		}

		private JobReport toReport() {
			Payload content = (this.phase == JobPhase.STOPPED) ? checkpoint() : Payload.EMPTY;
			Resources usage = (this.phase == JobPhase.RUNNING) ? this.truth.usage() : Resources.NONE;
			return new JobReport(this.truth.job(), this.leaseEpoch, this.phase, usage, content);
		}

		private Payload checkpoint() {
			return Payload.ofText(Double.toString(this.remainingMillis));
		}

		private static double remainingAfter(JobTruth truth, Payload checkpoint) {
			boolean fromStart = checkpoint.lengthBytes() == 0;
			return fromStart ? truth.runMillis() : Double.parseDouble(checkpoint.text());
		}

	}

}
