package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;

/**
 * How the runs on each runner fare lately. A runner whose health check is good may still
 * fail or stall everything that it starts. Mutable; owned by the leader.
 */
public final class RunnerReliabilityTracker {

	/** Share of the newest run in the moving average; about five runs decide. */
	private static final double NEWEST_WEIGHT = 0.3;

	/** Half of the runs failing is far above what faulty tasks cause on sound runners. */
	private static final double SUSPECT_FAILURE_SHARE = 0.5;

	/** One failure among the newest four runs. */
	private static final double DOUBTFUL_FAILURE_SHARE = 0.1;

	/**
	 * Several tasks together advance at less than this share of their estimates only on a
	 * runner that is slow or stands still.
	 */
	private static final double SLOW_RELATIVE_SPEED = 0.3;

	/** After this time a suspected runner is tried again. */
	private static final long SUSPICION_MILLIS = 5_000;

	private final Map<RunnerKey, Failures> failures = new HashMap<>();

	/** When tasks were seen to hardly advance. */
	private final Map<RunnerKey, Long> slowMillis = new HashMap<>();

	/**
	 * Counts the end of a run.
	 * @param runner the life of the runner
	 * @param outcome how the run ended
	 * @param nowMillis the time
	 */
	public void recordEnd(RunnerKey runner, RunOutcome outcome, long nowMillis) {
		if (outcome.isDone() || outcome.countsAsAttempt()) {
			double before = this.failures.getOrDefault(runner, Failures.NONE).share();
			double newest = outcome.countsAsAttempt() ? 1 : 0;
			this.failures.put(runner, new Failures(before + NEWEST_WEIGHT * (newest - before), nowMillis));
		}
	}

	/**
	 * Takes note of how fast the tasks on a runner advance.
	 * @param runner the life of the runner
	 * @param relativeSpeed progress divided by what was to be expected
	 * @param nowMillis the time
	 */
	public void recordSpeed(RunnerKey runner, double relativeSpeed, long nowMillis) {
		if (relativeSpeed < SLOW_RELATIVE_SPEED) {
			this.slowMillis.put(runner, nowMillis);
		}
	}

	/**
	 * Judges a runner.
	 * @param runner the life of the runner
	 * @param nowMillis the time
	 * @return which tasks it should get
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
	 * Forgets all lives of runners but some.
	 * @param known the lives to keep
	 */
	public void retainAll(Set<RunnerKey> known) {
		this.failures.keySet().retainAll(known);
		this.slowMillis.keySet().retainAll(known);
	}

	private record Failures(double share, long countedMillis) {

		private static final Failures NONE = new Failures(0, 0);

	}

}
