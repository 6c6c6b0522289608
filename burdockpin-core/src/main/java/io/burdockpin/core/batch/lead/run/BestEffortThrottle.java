package io.burdockpin.core.batch.lead.run;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.TaskId;

/**
 * Throttles the best-effort tasks of one runner so that the tail latency of its serving
 * tasks stays below their targets. The CPU limit is halved while a task is close to its
 * target and raised in steps while all tasks are well below theirs. Not thread-safe;
 * owned by a {@link RunnerSession}.
 */
final class BestEffortThrottle {

	static final int FULL_PERCENT = 100;

	/** Share of the latency target above which the limit is reduced. */
	private static final double HIGH_LATENCY_SHARE = 0.9;

	/** Share of the latency target below which the limit is raised. */
	private static final double LOW_LATENCY_SHARE = 0.7;

	/**
	 * Listings arrive about once a second, so a full recovery takes about five seconds.
	 */
	private static final int INCREASE_PERCENT = 20;

	/**
	 * Below this limit a task is paused, since it would make little progress and still
	 * cause interference.
	 */
	private static final int MINIMUM_PERCENT = 10;

	/**
	 * Limits acknowledged by the runner. Runs that an earlier leader started are not
	 * included.
	 */
	private final Map<TaskId, Integer> confirmedPercents = new HashMap<>();

	private int percent = FULL_PERCENT;

	private long adjustedMillis;

	/**
	 * Adjusts the limit after a listing.
	 * @param runs listed runs that are assigned to the runner
	 * @param nowMillis current time, in milliseconds
	 * @param periodMillis minimum time between two adjustments, so that the reported
	 * latencies reflect the previous one
	 */
	void observe(List<RunProgress> runs, long nowMillis, int periodMillis) {
		this.confirmedPercents.keySet()
			.removeIf((task) -> runs.stream().noneMatch((progress) -> progress.run().task().equals(task)));
		if (nowMillis - this.adjustedMillis < periodMillis) {
			return;
		}
		this.adjustedMillis = nowMillis;
		double highestUtilization = runs.stream().mapToDouble(RunProgress::targetUtilization).max().orElse(0);
		if (highestUtilization > HIGH_LATENCY_SHARE) {
			this.percent = (this.percent / 2 < MINIMUM_PERCENT) ? 0 : this.percent / 2;
		}
		else if (highestUtilization < LOW_LATENCY_SHARE) {
			this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
		}
	}

	/**
	 * Returns a best-effort run whose limit differs from the current one.
	 * @param runs all runs assigned to the runner
	 * @param nowMillis current time, in milliseconds
	 * @return the first such run, or empty if all limits are up to date
	 */
	Optional<RunProgress> nextOutdatedRun(Iterable<RunProgress> runs, long nowMillis) {
		for (RunProgress progress : runs) {
			boolean isOutdated = progress.needsThrottle(nowMillis) && this.confirmedPercents
				.getOrDefault(progress.run().task(), initialPercent(progress)) != this.percent;
			if (isOutdated) {
				return Optional.of(progress);
			}
		}
		return Optional.empty();
	}

	int percent() {
		return this.percent;
	}

	/**
	 * Handles the acknowledgement of a limit by the runner.
	 * @param task throttled task
	 * @param acceptedPercent acknowledged limit, in percent of the CPU share
	 */
	void confirm(TaskId task, int acceptedPercent) {
		this.confirmedPercents.put(task, acceptedPercent);
	}

	// Runners start tasks without a limit, but an earlier leader may have changed the
	// limit of a run that this leader took over.
	private static int initialPercent(RunProgress progress) {
		return progress.isAdopted() ? -1 : FULL_PERCENT;
	}

}
