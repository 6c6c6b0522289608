package io.burdockpin.benchmark.policy;

import java.util.Locale;
import java.util.OptionalDouble;

/** What the tables and the plot show of a run. */
enum Measure {

	/** Idle capacity on occupied hosts. */
	BUFFER_COST("buffer cost, % of fleet") {
		@Override
		double valueOf(RunResult result) {
			return result.bufferPercent();
		}

		@Override
		OptionalDouble boundOf(RunResult result) {
			return OptionalDouble.of(result.bufferBoundPercent());
		}
	},

	/** Time until all hosts are maintained. */
	ROLLOUT("roll-out time, s") {
		@Override
		double valueOf(RunResult result) {
			return result.rolloutMillis() / MILLIS_PER_SECOND;
		}

		@Override
		OptionalDouble boundOf(RunResult result) {
			return OptionalDouble.of(result.rolloutBoundMillis() / MILLIS_PER_SECOND);
		}
	},

	/** Starts of jobs that had started before. */
	MOVES("job moves") {
		@Override
		double valueOf(RunResult result) {
			return result.moveCount();
		}
	},

	/** How near each team comes to its share. */
	SHARE_NEARNESS("nearness to share, %") {
		@Override
		double valueOf(RunResult result) {
			return result.shareNearnessPercent();
		}

		@Override
		OptionalDouble boundOf(RunResult result) {
			return OptionalDouble.of(100);
		}
	},

	/** Delay of urgent work. */
	URGENT_START("urgent start p99, ms") {
		@Override
		double valueOf(RunResult result) {
			return result.urgentStartP99Millis();
		}
	},

	/** Processor capacity in use. */
	USED("used capacity, % of fleet") {
		@Override
		double valueOf(RunResult result) {
			return result.usedPercent();
		}

		@Override
		OptionalDouble boundOf(RunResult result) {
			return OptionalDouble.of(result.usedBoundPercent());
		}
	},

	/** Jobs that ended well. */
	FINISHED("jobs finished") {
		@Override
		double valueOf(RunResult result) {
			return result.finishedCount();
		}

		@Override
		OptionalDouble boundOf(RunResult result) {
			return OptionalDouble.of(result.submittedCount());
		}
	},

	/** Jobs that ended as failed. */
	FAILED("jobs failed") {
		@Override
		double valueOf(RunResult result) {
			return result.failedCount();
		}
	},

	/** Jobs that ended with an unknown outcome. */
	UNKNOWN("jobs with unknown outcome") {
		@Override
		double valueOf(RunResult result) {
			return result.unknownCount();
		}
	};

	private static final double MILLIS_PER_SECOND = 1000;

	private final String label;

	Measure(String label) {
		this.label = label;
	}

	abstract double valueOf(RunResult result);

	/**
	 * Returns the value that no policy can beat.
	 * @param result a result of the scenario
	 * @return the bound, or nothing if none can be worked out
	 */
	OptionalDouble boundOf(RunResult result) {
		return OptionalDouble.empty();
	}

	String label() {
		return this.label;
	}

	static String format(double value) {
		boolean whole = value == Math.rint(value);
		return whole ? Long.toString((long) value) : String.format(Locale.ROOT, "%.2f", value);
	}

}
