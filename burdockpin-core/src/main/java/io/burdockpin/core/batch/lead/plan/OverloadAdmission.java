package io.burdockpin.core.batch.lead.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * Rejects jobs whose results would be worth nothing. Load: a pool whose jobs in progress
 * occupy all that it can grow to for longer than a new job can wait, for example after
 * the loss of most of its runners.
 * <p>
 * A job is rejected if it would end later than three times its objective although it were
 * the first of the new jobs of its pool. Only the jobs in progress of the pool come
 * before it. The pool is taken to have all its runners, the spare hosts, the hosts on
 * their way to it, and what is free in other pools. Long-running and scheduled jobs are
 * accepted, as are jobs for a pool that has no known capacity. Immutable; examines the
 * state once, so it is to be created anew from time to time.
 */
public final class OverloadAdmission {

	/** The result of a job is worth nothing after this multiple of its objective. */
	private static final int WORTHLESS_LATENCIES = 3;

	private static final int MINIMUM_RETRY_MILLIS = 1_000;

	/** Retries beyond this time would exceed the objectives of most callers. */
	private static final int MAXIMUM_RETRY_MILLIS = 30_000;

	/** Callers that are rejected together return spread over this share of the delay. */
	private static final double SPREAD_SHARE = 0.5;

	private final SlackCalculator slackCalculator;

	/** Work of the jobs in progress by pool, in core-milliseconds. */
	private final Map<String, Double> startedWork;

	/** Capacity by pool, in thousandths of a core. */
	private final Map<String, Double> millicores;

	private OverloadAdmission(SlackCalculator slackCalculator, Map<String, Double> startedWork,
			Map<String, Double> millicores) {
		this.slackCalculator = slackCalculator;
		this.startedWork = Map.copyOf(startedWork);
		this.millicores = Map.copyOf(millicores);
	}

	/**
	 * Examines the replicated state.
	 * @param state replicated state
	 * @param durations estimator for task durations
	 * @param spareHosts number of hosts that any pool can get
	 * @return decision for the present load
	 */
	public static OverloadAdmission of(BatchState state, DurationEstimator durations, int spareHosts) {
		Map<String, Double> startedWork = new HashMap<>();
		for (BatchJob job : state.activeJobs()) {
			if (!job.spec().isLongRunning()) {
				job.configuredQueue()
					.ifPresent((queue) -> startedWork.merge(queue.pool(), startedWork(job, durations), Double::sum));
			}
		}
		return new OverloadAdmission(new SlackCalculator(durations), startedWork, millicores(state, spareHosts));
	}

	private static Map<String, Double> millicores(BatchState state, int spareHosts) {
		Map<String, Double> own = new HashMap<>();
		Map<String, Double> free = new HashMap<>();
		double total = 0;
		double totalFree = 0;
		int count = 0;
		for (RunnerRecord runner : state.runners()) {
			Resources capacity = runner.capacity();
			double forFinite = capacity.minus(state.runs().longRunningOn(runner.key())).cpuMillicores();
			double unused = capacity.minus(state.runs().reservedOn(runner.key())).cpuMillicores();
			own.merge(runner.pool(), forFinite, Double::sum);
			free.merge(runner.pool(), unused, Double::sum);
			total += capacity.cpuMillicores();
			totalFree += unused;
			count++;
		}
		double hostMillicores = total / Math.max(1, count);
		Map<String, Double> millicores = new HashMap<>();
		for (Map.Entry<String, Double> pool : own.entrySet()) {
			long arriving = state.moves().values().stream().filter((move) -> move.pool().equals(pool.getKey())).count();
			millicores.put(pool.getKey(),
					pool.getValue() + totalFree - free.get(pool.getKey()) + (spareHosts + arriving) * hostMillicores);
		}
		return millicores;
	}

	private static double startedWork(BatchJob job, DurationEstimator durations) {
		return job.occurrences().stream().mapToDouble((occurrence) -> {
			boolean isStarted = false;
			double work = 0;
			for (StepTasks step : occurrence.steps()) {
				double taskWork = (double) step.spec().reserved().cpuMillicores()
						* durations.estimateMillis(job.address().orElseThrow(), step.spec().estimatedMillis());
				isStarted |= !step.areAllWaiting();
				work += (step.waitingCount() + PlacementOrder.RUNNING_SHARE * step.runningCount()) * taskWork;
			}
			return isStarted ? work : 0;
		}).sum();
	}

	/**
	 * Decides about a job that is not known yet.
	 * @param job identifier of the job
	 * @param queue queue that it is submitted to
	 * @param spec specification of the job
	 * @return delay before a retry in milliseconds if the job is rejected, or empty
	 */
	public Optional<Integer> retryAfterMillis(String job, BatchQueue queue, JobSpec spec) {
		double capacity = this.millicores.getOrDefault(queue.pool(), 0.0);
		boolean isFinite = !spec.isLongRunning() && !spec.hasSchedule()
				&& spec.steps().stream().noneMatch(StepSpec::fills);
		if (!isFinite || capacity <= 0) {
			return Optional.empty();
		}
		double waitMillis = this.startedWork.getOrDefault(queue.pool(), 0.0) / capacity;
		long chainMillis = this.slackCalculator.chainMillis(queue.address(), spec);
		double worthlessMillis = WORTHLESS_LATENCIES * (queue.targetLatencyMillis() + queue.stretch() * chainMillis);
		return (waitMillis + chainMillis <= worthlessMillis) ? Optional.empty()
				: Optional.of(retryMillis(job, waitMillis));
	}

	private static int retryMillis(String job, double waitMillis) {
		double spread = (job.hashCode() & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE;
		double millis = Math.max(MINIMUM_RETRY_MILLIS, Math.min(MAXIMUM_RETRY_MILLIS, waitMillis));
		return (int) (millis * (1 + SPREAD_SHARE * spread));
	}

}
