package io.burdockpin.systemtest.batch;

import java.util.Locale;
import java.util.Optional;

/**
 * One run as its runner saw it. Immutable. Times are those of {@link System#nanoTime()}.
 *
 * @param task the name of the task
 * @param run the number of the run
 * @param runner the identifier of the runner
 * @param bornWallMillis the incarnation of the runner
 * @param fencingToken the fencing token of the start
 * @param startLateMillis how long the runner held the start back
 * @param startNanos when it started
 * @param endNanos when it ended, or when the soak ended
 * @param end how it ended; empty if the runner crashed or the run is in progress
 * @param acknowledgedNanos when its end was acknowledged; empty if it was not
 */
record RunRecord(String task, int run, String runner, long bornWallMillis, long fencingToken, long startLateMillis,
		long startNanos, long endNanos, Optional<RunEnd> end, Optional<Long> acknowledgedNanos) {

	boolean overlaps(RunRecord other) {
		return this.startNanos < other.endNanos && other.startNanos < this.endNanos;
	}

	/**
	 * Returns whether another run started although this one was known to be done.
	 * @param later the other run
	 * @return whether the task was started again
	 */
	boolean wasDoneBefore(RunRecord later) {
		return this.end.filter(RunEnd.DONE::equals).isPresent()
				&& this.acknowledgedNanos.filter((nanos) -> nanos < later.startNanos).isPresent();
	}

	String describe(long zeroNanos) {
		return "%s run %d on %s born %d, token %d, start %d ms late, %.3f to %.3f s, %s, acknowledged %s".formatted(
				this.task, this.run, this.runner, this.bornWallMillis, this.fencingToken, this.startLateMillis,
				seconds(this.startNanos, zeroNanos), seconds(this.endNanos, zeroNanos),
				this.end.map(RunEnd::wireName).orElse("no end"),
				this.acknowledgedNanos.map((nanos) -> "%.3f s".formatted(seconds(nanos, zeroNanos))).orElse("never"));
	}

	private static double seconds(long nanos, long zeroNanos) {
		return (nanos - zeroNanos) / 1e9;
	}

	/** How a run ended on its runner. */
	enum RunEnd {

		DONE, STOPPED, LAPSED;

		String wireName() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
