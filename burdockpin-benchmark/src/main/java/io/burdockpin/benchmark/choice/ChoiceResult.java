package io.burdockpin.benchmark.choice;

import java.util.Locale;

/**
 * Waits for a slot under one rule.
 *
 * @param rule the rule
 * @param meanMillis mean wait
 * @param p99Millis 99th percentile of the wait
 * @param recoveredP99Millis 99th percentile after the slow host has recovered
 * @param recoveredRequests requests that the recovered host got
 */
record ChoiceResult(ChoiceRule rule, double meanMillis, long p99Millis, long recoveredP99Millis,
		long recoveredRequests) {

	String toMarkdownRow(double utilisation) {
		return String.format(Locale.ROOT, "| %.2f | %s | %.1f | %d | %d | %d |", utilisation, this.rule,
				this.meanMillis, this.p99Millis, this.recoveredP99Millis, this.recoveredRequests);
	}

}
