package io.burdockpin.testbench.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counts the answers of a load run and checks each against its request. Mutable; owned by
 * the load actor.
 */
public final class LoadTally {

	private static final long HIGHEST_MICROS = 120_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);

	private final Map<String, Long> refusals = new TreeMap<>();

	private long sent;

	private long answered;

	private long wrongAnswers;

	private long lost;

	// access

	/**
	 * Counts a request.
	 */
	public void onSent() {
		this.sent++;
	}

	/**
	 * Counts an answer with status 200.
	 * @param expected the body that was sent
	 * @param received the body of the answer
	 * @param micros time from when the request was due
	 */
	public void onAnswer(String expected, String received, long micros) {
		if (expected.equals(received)) {
			this.answered++;
			this.latencyMicros.recordValue(Math.min(Math.max(micros, 0), HIGHEST_MICROS));
		}
		else {
			this.wrongAnswers++;
		}
	}

	/**
	 * Counts an answer with another status.
	 * @param reason status and error code
	 */
	public void onRefusal(String reason) {
		this.refusals.merge(reason, 1L, Long::sum);
	}

	/**
	 * Counts a request without an answer.
	 */
	public void onLost() {
		this.lost++;
	}

	/**
	 * Returns the counts.
	 * @param elapsedMillis length of the run
	 * @return the report
	 */
	public LoadReport report(long elapsedMillis) {
		return new LoadReport(this.sent, this.answered, this.wrongAnswers, this.lost, new TreeMap<>(this.refusals),
				elapsedMillis, percentileMillis(50), percentileMillis(99),
				this.latencyMicros.getMaxValue() / MICROS_PER_MILLI);
	}

	// helpers

	private double percentileMillis(double percentile) {
		return this.latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

}
