package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.SlackCalculator;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Estimates the number of hosts that each pool requires at the time when a host ordered
 * now would arrive, from the tasks that are waiting, that will still be running, and that
 * will arrive in the meantime. Running long-running tasks are not included, since they
 * reduce the capacity of their hosts. Not thread-safe; owned by the leader.
 */
public final class PoolDemand {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final BatchState state;

	private final DurationEstimator durations;

	private final SlackCalculator slackCalculator;

	private final Map<String, ArrivalRate> arrivalRates = new HashMap<>();

	private final Set<String> knownJobs = new HashSet<>();

	private Map<String, PoolWork> workByPool = Map.of();

	private List<Arrival> arrivals = List.of();

	private long observedMillis;

	/**
	 * Creates an estimator without observations.
	 * @param state replicated state
	 * @param durations estimator for task durations
	 */
	public PoolDemand(BatchState state, DurationEstimator durations) {
		this.state = state;
		this.durations = durations;
		this.slackCalculator = new SlackCalculator(durations);
	}

	/**
	 * Updates the demand from the active jobs.
	 * @param configuration configuration of the queues and pools
	 * @param lookAheadMillis time until a host ordered now would arrive
	 * @param nowMillis current monotonic time, in milliseconds
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 */
	public void observe(FleetConfiguration configuration, long lookAheadMillis, long nowMillis, long wallMillis) {
		Map<String, PoolWork> newWork = new HashMap<>();
		Map<String, ResourceAmount> arrivedFirst = new HashMap<>();
		Map<String, ResourceAmount> arrivedWork = new HashMap<>();
		Set<String> present = new HashSet<>();
		List<Arrival> newArrivals = new ArrayList<>();
		for (BatchJob job : this.state.activeJobs()) {
			present.add(job.id());
			job.configuredQueue().ifPresent((queue) -> {
				String pool = queue.pool();
				addWork(newWork.computeIfAbsent(pool, (name) -> new PoolWork()), job, queue, lookAheadMillis,
						wallMillis);
				if (!this.knownJobs.contains(job.id()) && !job.spec().isLongRunning()) {
					arrivedFirst.merge(pool, firstStep(job, lookAheadMillis), ResourceAmount::plus);
					arrivedWork.merge(pool, totalWork(job), ResourceAmount::plus);
					addArrivals(newArrivals, job, pool, nowMillis - Math.max(0, wallMillis - job.acceptedMillis()));
				}
			});
		}
		this.knownJobs.clear();
		this.knownJobs.addAll(present);
		if (this.observedMillis != 0) {
			double elapsedSeconds = Math.max(1, nowMillis - this.observedMillis) / MILLIS_PER_SECOND;
			configuration.pools()
				.forEach((pool) -> this.arrivalRates.computeIfAbsent(pool.name(), (name) -> new ArrivalRate())
					.observe(arrivedFirst.getOrDefault(pool.name(), ResourceAmount.NONE).times(1 / elapsedSeconds),
							arrivedWork.getOrDefault(pool.name(), ResourceAmount.NONE).times(1 / elapsedSeconds)));
		}
		this.observedMillis = nowMillis;
		this.workByPool = newWork;
		this.arrivals = newArrivals;
	}

	/**
	 * Returns the steps of the finite jobs that the latest observation saw first.
	 * @return steps, empty if no job arrived
	 */
	List<Arrival> arrivals() {
		return this.arrivals;
	}

	/**
	 * Returns the number of hosts required by finite tasks of jobs that can still meet
	 * their objective.
	 * @param pool name of the pool
	 * @param host capacity of a host of the pool
	 * @return number of hosts, including fractions
	 */
	public double requiredHosts(String pool, ResourceAmount host) {
		PoolWork present = this.workByPool.getOrDefault(pool, PoolWork.NONE);
		ArrivalRate rate = this.arrivalRates.getOrDefault(pool, ArrivalRate.NONE);
		ResourceAmount expected = present.remaining.plus(rate.firstSteps());
		// A steady load requires its arrival rate times its duration, even while no task
		// is waiting.
		return Math.max(expected.hostCount(host), rate.wholeJobs().hostCount(host));
	}

	/**
	 * Returns the number of hosts required by tasks of late jobs.
	 * @param pool name of the pool
	 * @param host capacity of a host of the pool
	 * @return number of hosts, including fractions
	 */
	public double lateHosts(String pool, ResourceAmount host) {
		return this.workByPool.getOrDefault(pool, PoolWork.NONE).remainingLate.hostCount(host);
	}

	/**
	 * Returns the number of empty hosts required by waiting long-running tasks.
	 * @param pool name of the pool
	 * @param host capacity of a host of the pool
	 * @return number of hosts
	 */
	public int servingHosts(String pool, ResourceAmount host) {
		return this.workByPool.getOrDefault(pool, PoolWork.NONE).waitingServing.entrySet()
			.stream()
			.mapToInt((entry) -> hostsFor(entry.getKey(), entry.getValue(), host))
			.sum();
	}

	// A task that ends before a host ordered now arrives requires its resources only for
	// its duration.
	private ResourceAmount firstStep(BatchJob job, long lookAheadMillis) {
		StepSpec step = job.spec().steps().get(0);
		return ResourceAmount.of(step).times(Math.min(lookAheadMillis, durationMillis(job, step)) / MILLIS_PER_SECOND);
	}

	private void addArrivals(List<Arrival> added, BatchJob job, String pool, long acceptedMillis) {
		List<Long> endMillis = new ArrayList<>();
		for (StepSpec step : job.spec().steps()) {
			long readyMillis = step.after()
				.stream()
				.filter((earlier) -> earlier < endMillis.size())
				.mapToLong(endMillis::get)
				.max()
				.orElse(acceptedMillis);
			long durationMillis = Math.round(durationMillis(job, step));
			endMillis.add(readyMillis + durationMillis);
			added.add(new Arrival(pool, readyMillis, durationMillis, ResourceAmount.of(step)));
		}
	}

	private void addWork(PoolWork sums, BatchJob job, BatchQueue queue, long lookAheadMillis, long wallMillis) {
		SlackCalculator.StepChains chains = this.slackCalculator.chains(job);
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				if (!step.isDone() && occurrence.isReady(number)) {
					boolean isLate = this.slackCalculator.slackMillis(job, queue, occurrence, chains, number,
							wallMillis) < 0;
					addStep(sums, job, step, isLate, lookAheadMillis);
				}
			}
		}
	}

	private void addStep(PoolWork sums, BatchJob job, StepTasks step, boolean isLate, long lookAheadMillis) {
		int waiting = step.waitingCount();
		int running = step.activeCount();
		if (step.spec().longRunning()) {
			if (waiting > 0) {
				sums.waitingServing.merge(step.spec(), waiting, Integer::sum);
			}
			return;
		}
		double endingShare = Math.min(1, lookAheadMillis / Math.max(1.0, durationMillis(job, step.spec())));
		ResourceAmount lasting = ResourceAmount.of(step.spec(), waiting + running * (1 - endingShare));
		if (isLate) {
			sums.remainingLate = sums.remainingLate.plus(lasting);
		}
		else {
			sums.remaining = sums.remaining.plus(lasting);
		}
	}

	private ResourceAmount totalWork(BatchJob job) {
		ResourceAmount sum = ResourceAmount.NONE;
		for (StepSpec step : job.spec().steps()) {
			sum = sum.plus(ResourceAmount.of(step).times(durationMillis(job, step) / MILLIS_PER_SECOND));
		}
		return sum;
	}

	private double durationMillis(BatchJob job, StepSpec step) {
		return this.durations.estimateMillis(job.address().orElseThrow(), step.estimatedMillis());
	}

	private static int hostsFor(StepSpec step, int tasks, ResourceAmount host) {
		ResourceAmount task = ResourceAmount.of(step, 1);
		int perHost = (int) Math.max(1,
				Math.min(step.maximumPerRunner().orElse(Integer.MAX_VALUE), 1 / Math.max(1e-9, task.hostCount(host))));
		int packedHosts = (tasks + perHost - 1) / perHost;
		double shareHosts = tasks * task.hostCount(host) / TaskPlanner.LONG_RUNNING_SHARE;
		return Math.max(packedHosts, (int) Math.ceil(shareHosts));
	}

	/**
	 * Step of a job that was just accepted.
	 *
	 * @param pool name of the pool
	 * @param readyMillis monotonic time at which it can start if nothing waits
	 * @param durationMillis expected duration of its tasks
	 * @param amount resources of all its tasks
	 */
	record Arrival(String pool, long readyMillis, long durationMillis, ResourceAmount amount) {

	}

	/** Demand of the active jobs of one pool. Modified only during an observation. */
	private static final class PoolWork {

		private static final PoolWork NONE = new PoolWork();

		/** Resources of finite tasks that will not have ended when a new host arrives. */
		private ResourceAmount remaining = ResourceAmount.NONE;

		/** The same for tasks of jobs that will miss their objective. */
		private ResourceAmount remainingLate = ResourceAmount.NONE;

		private final Map<StepSpec, Integer> waitingServing = new HashMap<>();

	}

	/** Moving averages of the resources that arrive per second. Not thread-safe. */
	private static final class ArrivalRate {

		private static final ArrivalRate NONE = new ArrivalRate();

		/** Weight of the latest observation; the average covers about half a second. */
		private static final double FAST_WEIGHT = 0.3;

		/** The average covers about two seconds. */
		private static final double SLOW_WEIGHT = 0.08;

		private ResourceAmount fastFirstSteps = ResourceAmount.NONE;

		private ResourceAmount slowFirstSteps = ResourceAmount.NONE;

		private ResourceAmount fastWholeJobs = ResourceAmount.NONE;

		private ResourceAmount slowWholeJobs = ResourceAmount.NONE;

		private void observe(ResourceAmount first, ResourceAmount work) {
			this.fastFirstSteps = this.fastFirstSteps.averagedWith(first, FAST_WEIGHT);
			this.slowFirstSteps = this.slowFirstSteps.averagedWith(first, SLOW_WEIGHT);
			this.fastWholeJobs = this.fastWholeJobs.averagedWith(work, FAST_WEIGHT);
			this.slowWholeJobs = this.slowWholeJobs.averagedWith(work, SLOW_WEIGHT);
		}

		private ResourceAmount firstSteps() {
			return this.fastFirstSteps.extrapolatedFrom(this.slowFirstSteps);
		}

		private ResourceAmount wholeJobs() {
			return this.fastWholeJobs.extrapolatedFrom(this.slowWholeJobs);
		}

	}

	/**
	 * Amount of CPU and memory, including fractions.
	 *
	 * @param cpuMillicores CPU in thousandths of a core
	 * @param memoryMebibytes memory in MiB
	 */
	public record ResourceAmount(double cpuMillicores, double memoryMebibytes) {

		static final ResourceAmount NONE = new ResourceAmount(0, 0);

		static ResourceAmount of(StepSpec step) {
			return of(step, step.taskCount());
		}

		static ResourceAmount of(StepSpec step, double tasks) {
			return new ResourceAmount(tasks * step.reserved().cpuMillicores(),
					tasks * step.reserved().memoryMebibytes());
		}

		ResourceAmount plus(ResourceAmount other) {
			return new ResourceAmount(this.cpuMillicores + other.cpuMillicores,
					this.memoryMebibytes + other.memoryMebibytes);
		}

		ResourceAmount times(double factor) {
			return new ResourceAmount(factor * this.cpuMillicores, factor * this.memoryMebibytes);
		}

		ResourceAmount averagedWith(ResourceAmount newest, double share) {
			return times(1 - share).plus(newest.times(share));
		}

		// Extrapolates a rising rate, which keeps rising at the start of a demand peak.
		ResourceAmount extrapolatedFrom(ResourceAmount slower) {
			return new ResourceAmount(this.cpuMillicores + Math.max(0, this.cpuMillicores - slower.cpuMillicores),
					this.memoryMebibytes + Math.max(0, this.memoryMebibytes - slower.memoryMebibytes));
		}

		/**
		 * Returns the number of hosts that this amount fills in its scarcer dimension.
		 * @param host capacity of a host
		 * @return number of hosts, including fractions
		 */
		double hostCount(ResourceAmount host) {
			return Math.max(this.cpuMillicores / Math.max(1, host.cpuMillicores),
					this.memoryMebibytes / Math.max(1, host.memoryMebibytes));
		}

	}

}
