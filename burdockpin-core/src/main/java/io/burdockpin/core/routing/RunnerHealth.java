package io.burdockpin.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.RunnerName;

/**
 * Outlier detection for the runners of one queue: sets aside runners that fail or are
 * slow. A runner that is set aside gets a single trial request after a pause, and the
 * pause grows exponentially while the trials fail. Mutable, owned by one actor.
 */
public final class RunnerHealth {

	private static final int CONSECUTIVE_FAILURES = 3;

	/** Minimum number of samples for a meaningful ratio or median. */
	private static final int MINIMUM_SAMPLES = 8;

	private static final double FAILURE_RATIO = 0.5;

	private static final double FAILURE_RATIO_TO_OTHERS = 2.0;

	/** Assumed for the others if there are none: no ratio can reach twice this value. */
	private static final double RATIO_WITHOUT_OTHERS = 1.0;

	/**
	 * A runner is slow above this multiple of the median service time of the others. Set
	 * by section 13 of the design page.
	 */
	private static final long SLOW_FACTOR = 3;

	private static final long FIRST_PAUSE_MILLIS = 1000;

	private static final long LONGEST_PAUSE_MILLIS = 60_000;

	private static final int LARGEST_PAUSE_EXPONENT = 6;

	private static final double JITTER = 0.2;

	private final RandomGenerator random;

	private final Map<RunnerName, Entry> entries = new HashMap<>();

	/**
	 * Creates the health record of a queue without runners.
	 * @param random source of the jitter of the pauses
	 */
	public RunnerHealth(RandomGenerator random) {
		this.random = random;
	}

	// life cycle

	/**
	 * Adds a runner. Does nothing if the runner is known.
	 * @param runner the runner
	 */
	public void add(RunnerName runner) {
		this.entries.computeIfAbsent(runner, (name) -> new Entry());
	}

	/**
	 * Removes a runner and its samples.
	 * @param runner the runner
	 */
	public void remove(RunnerName runner) {
		this.entries.remove(runner);
	}

	/**
	 * Handles the start of an attempt.
	 * @param runner the runner
	 */
	public void onAttemptStarted(RunnerName runner) {
		Entry entry = this.entries.get(runner);
		if (entry != null && entry.state != State.IN_SERVICE) {
			entry.trialRunning = true;
		}
	}

	/**
	 * Handles the end of an attempt.
	 * @param runner the runner
	 * @param verdict conclusion about the runner
	 * @param serviceMillis duration of the attempt
	 * @param nowMillis the current time
	 */
	public void onAttemptEnded(RunnerName runner, AttemptVerdict verdict, long serviceMillis, long nowMillis) {
		Entry entry = this.entries.get(runner);
		if (entry == null) {
			return;
		}
		if (entry.state != State.IN_SERVICE) {
			endTrial(entry, verdict, serviceMillis, nowMillis);
		}
		else if (verdict != AttemptVerdict.NEUTRAL) {
			entry.record(verdict, serviceMillis);
			evaluate(entry, nowMillis);
		}
	}

	// access

	/**
	 * Tells whether a runner may get a request.
	 * @param runner the runner
	 * @param nowMillis the current time
	 * @return {@code false} if the runner is set aside and its pause has not ended or its
	 * trial request is running
	 */
	public boolean isAvailable(RunnerName runner, long nowMillis) {
		Entry entry = this.entries.get(runner);
		if (entry == null || entry.state == State.IN_SERVICE) {
			return true;
		}
		return nowMillis >= entry.setAsideUntilMillis && !entry.trialRunning;
	}

	/**
	 * Tells whether a runner is set aside.
	 * @param runner the runner
	 * @return whether the runner gets trial requests only
	 */
	public boolean isSetAside(RunnerName runner) {
		Entry entry = this.entries.get(runner);
		return entry != null && entry.state != State.IN_SERVICE;
	}

	/**
	 * Returns the median service time of a runner.
	 * @param runner the runner
	 * @return the time in milliseconds, 0 without samples
	 */
	public long serviceMillis(RunnerName runner) {
		Entry entry = this.entries.get(runner);
		return (entry != null) ? entry.serviceTimes.median() : 0;
	}

	/**
	 * Counts the runners that are set aside.
	 * @return the number of runners
	 */
	public int setAsideCount() {
		return (int) this.entries.values().stream().filter((entry) -> entry.state != State.IN_SERVICE).count();
	}

	// helpers

	private void endTrial(Entry entry, AttemptVerdict verdict, long serviceMillis, long nowMillis) {
		if (!entry.trialRunning) {
			return;
		}
		entry.trialRunning = false;
		if (verdict == AttemptVerdict.NEUTRAL) {
			return;
		}
		if (entry.state.passesTrial(verdict, serviceMillis, othersMedianMillis(entry))) {
			entry.returnToService();
		}
		else {
			setAside(entry, entry.state, nowMillis);
		}
	}

	private void evaluate(Entry entry, long nowMillis) {
		if (entry.consecutiveFailures >= CONSECUTIVE_FAILURES || failsMoreThanOthers(entry)) {
			setAside(entry, State.FAILING, nowMillis);
		}
		else if (isSlow(entry) && canSetAsideSlowRunner()) {
			setAside(entry, State.SLOW, nowMillis);
		}
		else if (entry.successesSinceReturn > SampleWindow.CAPACITY) {
			entry.pauseExponent = 0;
		}
	}

	private boolean failsMoreThanOthers(Entry entry) {
		if (entry.failures.count() < MINIMUM_SAMPLES) {
			return false;
		}
		double othersRatio = others(entry).stream()
			.mapToDouble((other) -> other.failures.mean())
			.average()
			.orElse(RATIO_WITHOUT_OTHERS);
		double ratio = entry.failures.mean();
		return ratio >= FAILURE_RATIO && ratio >= FAILURE_RATIO_TO_OTHERS * othersRatio;
	}

	private boolean isSlow(Entry entry) {
		long othersMillis = othersMedianMillis(entry);
		return entry.serviceTimes.count() >= MINIMUM_SAMPLES && othersMillis > 0
				&& entry.serviceTimes.median() > SLOW_FACTOR * othersMillis;
	}

	private boolean canSetAsideSlowRunner() {
		long slowCount = this.entries.values().stream().filter((entry) -> entry.state == State.SLOW).count();
		return (slowCount + 1) * 2 <= this.entries.size();
	}

	private long othersMedianMillis(Entry entry) {
		SampleWindow medians = new SampleWindow(Math.max(1, this.entries.size()));
		for (Entry other : others(entry)) {
			medians.add(other.serviceTimes.median());
		}
		return medians.median();
	}

	private List<Entry> others(Entry entry) {
		return this.entries.values()
			.stream()
			.filter((other) -> other != entry && other.serviceTimes.count() >= MINIMUM_SAMPLES)
			.toList();
	}

	private void setAside(Entry entry, State state, long nowMillis) {
		long pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << entry.pauseExponent);
		double factor = 1 - this.random.nextDouble() * JITTER;
		entry.state = state;
		entry.trialRunning = false;
		entry.setAsideUntilMillis = nowMillis + (long) (pauseMillis * factor);
		entry.pauseExponent = Math.min(LARGEST_PAUSE_EXPONENT, entry.pauseExponent + 1);
	}

	private enum State {

		IN_SERVICE {
			@Override
			boolean passesTrial(AttemptVerdict verdict, long serviceMillis, long othersMillis) {
				return true;
			}
		},

		FAILING {
			@Override
			boolean passesTrial(AttemptVerdict verdict, long serviceMillis, long othersMillis) {
				return !verdict.failed();
			}
		},

		SLOW {
			@Override
			boolean passesTrial(AttemptVerdict verdict, long serviceMillis, long othersMillis) {
				return !verdict.failed() && (othersMillis == 0 || serviceMillis <= SLOW_FACTOR * othersMillis);
			}
		};

		abstract boolean passesTrial(AttemptVerdict verdict, long serviceMillis, long othersMillis);

	}

	private static final class Entry {

		private State state = State.IN_SERVICE;

		private SampleWindow failures = new SampleWindow(SampleWindow.CAPACITY);

		private SampleWindow serviceTimes = new SampleWindow(SampleWindow.CAPACITY);

		private int consecutiveFailures;

		private int successesSinceReturn;

		private int pauseExponent;

		private long setAsideUntilMillis;

		private boolean trialRunning;

		private void record(AttemptVerdict verdict, long serviceMillis) {
			this.failures.add(verdict.failed() ? 1 : 0);
			this.consecutiveFailures = verdict.runnerFault() ? this.consecutiveFailures + 1 : 0;
			this.successesSinceReturn = verdict.failed() ? 0 : this.successesSinceReturn + 1;
			if (!verdict.runnerFault()) {
				this.serviceTimes.add(serviceMillis);
			}
		}

		private void returnToService() {
			this.state = State.IN_SERVICE;
			this.failures = new SampleWindow(SampleWindow.CAPACITY);
			this.serviceTimes = new SampleWindow(SampleWindow.CAPACITY);
			this.consecutiveFailures = 0;
			this.successesSinceReturn = 0;
		}

	}

}
