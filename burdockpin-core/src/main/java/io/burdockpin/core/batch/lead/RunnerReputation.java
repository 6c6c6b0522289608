package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;

/**
 * How often the runs on each runner fail lately. A runner whose health check is good may
 * still fail everything that it starts. Mutable; owned by the leader.
 */
public final class RunnerReputation {

	/** Share of the newest run in the moving average; about five runs decide. */
	private static final double NEWEST_SHARE = 0.3;

	/** Half of the runs failing is far above what faulty tasks cause on sound runners. */
	private static final double SUSPECT_FAILURES = 0.5;

	/** After this time a suspected runner is tried again. */
	private static final long PAROLE_MILLIS = 5_000;

	private final Map<RunnerKey, Failures> failures = new HashMap<>();

	/**
	 * Counts the end of a run.
	 * @param runner the life of the runner
	 * @param outcome how the run ended
	 * @param nowMillis the time
	 */
	public void count(RunnerKey runner, RunOutcome outcome, long nowMillis) {
		if (outcome.isDone() || outcome.countsAsAttempt()) {
			double before = this.failures.getOrDefault(runner, Failures.NONE).share();
			double newest = outcome.countsAsAttempt() ? 1 : 0;
			this.failures.put(runner, new Failures(before + NEWEST_SHARE * (newest - before), nowMillis));
		}
	}

	/**
	 * Tells whether a runner should get tasks only if no other can take them.
	 * @param runner the life of the runner
	 * @param nowMillis the time
	 * @return whether most of its runs have failed lately
	 */
	public boolean isSuspect(RunnerKey runner, long nowMillis) {
		Failures known = this.failures.getOrDefault(runner, Failures.NONE);
		return known.share() >= SUSPECT_FAILURES && nowMillis - known.countedMillis() < PAROLE_MILLIS;
	}

	/**
	 * Forgets a life of a runner.
	 * @param runner the life
	 */
	public void forget(RunnerKey runner) {
		this.failures.remove(runner);
	}

	private record Failures(double share, long countedMillis) {

		private static final Failures NONE = new Failures(0, 0);

	}

}
