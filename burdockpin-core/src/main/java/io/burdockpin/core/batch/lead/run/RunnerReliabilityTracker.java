package io.burdockpin.core.batch.lead.run;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;

/**
 * Tracks the reliability of runners by the outcomes and the speed of their runs. A runner
 * that passes its health check may still fail or stall everything it starts. Not
 * thread-safe; owned by the leader.
 */
public final class RunnerReliabilityTracker {

	/** Weight of the latest run in the moving average, which covers about five runs. */
	private static final double NEWEST_WEIGHT = 0.3;

	/** Faulty tasks alone cause far fewer failures on healthy runners. */
	private static final double SUSPECT_FAILURE_SHARE = 0.5;

	/** Exceeded after one failure in the last four runs. */
	private static final double DOUBTFUL_FAILURE_SHARE = 0.1;

	/**
	 * Several tasks progress at less than this share of their estimates only on a runner
	 * that is slow or stalled.
	 */
	private static final double SLOW_RELATIVE_SPEED = 0.3;

	/** Time after which a suspect runner is used again. */
	private static final long SUSPICION_MILLIS = 5_000;

	private final Map<RunnerKey, Failures> failures = new HashMap<>();

	/** Times at which the tasks of a runner were last found to be slow. */
	private final Map<RunnerKey, Long> slowMillis = new HashMap<>();

	/**
	 * Records the end of a run.
	 * @param runner incarnation of the runner
	 * @param outcome outcome of the run; ignored unless the task was completed or the run
	 * counts as an attempt
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void recordEnd(RunnerKey runner, RunOutcome outcome, long nowMillis) {
		if (outcome.isDone() || outcome.countsAsAttempt()) {
			double before = this.failures.getOrDefault(runner, Failures.NONE).share();
			double newest = outcome.countsAsAttempt() ? 1 : 0;
			this.failures.put(runner, new Failures(before + NEWEST_WEIGHT * (newest - before), nowMillis));
		}
	}

	/**
	 * Records the speed of the tasks on a runner.
	 * @param runner incarnation of the runner
	 * @param relativeSpeed progress divided by the expected progress
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void recordSpeed(RunnerKey runner, double relativeSpeed, long nowMillis) {
		if (relativeSpeed < SLOW_RELATIVE_SPEED) {
			this.slowMillis.put(runner, nowMillis);
		}
	}

	/**
	 * Returns the reliability of a runner.
	 * @param runner incarnation of the runner
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return reliability, {@code SOUND} for an unknown runner
	 */
	public RunnerReliability reliability(RunnerKey runner, long nowMillis) {
		Failures known = this.failures.getOrDefault(runner, Failures.NONE);
		boolean failsLately = nowMillis - known.countedMillis() < SUSPICION_MILLIS;
		boolean isSlow = this.slowMillis.containsKey(runner)
				&& nowMillis - this.slowMillis.get(runner) < SUSPICION_MILLIS;
		if (isSlow || (failsLately && known.share() >= SUSPECT_FAILURE_SHARE)) {
			return RunnerReliability.SUSPECT;
		}
		return (failsLately && known.share() >= DOUBTFUL_FAILURE_SHARE) ? RunnerReliability.DOUBTFUL
				: RunnerReliability.SOUND;
	}

	/**
	 * Removes all incarnations except the given ones.
	 * @param known incarnations to keep
	 */
	public void retainAll(Set<RunnerKey> known) {
		this.failures.keySet().retainAll(known);
		this.slowMillis.keySet().retainAll(known);
	}

	private record Failures(double share, long countedMillis) {

		private static final Failures NONE = new Failures(0, 0);

	}

}
