package io.burdockpin.core.limit;

import java.util.Comparator;

import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;

/**
 * Identifies an answer of the leader to a holder within one term. The natural order is
 * the order in which the holder may apply the answers.
 *
 * @param sequence sequence number of the answered report
 * @param answer 0 for the first answer to the report, incremented for each later one
 */
record AnswerId(long sequence, long answer) implements Comparable<AnswerId> {

	private static final Comparator<AnswerId> ORDER = Comparator.comparingLong(AnswerId::sequence)
		.thenComparingLong(AnswerId::answer);

	static AnswerId of(TokenGrants grants) {
		return new AnswerId(grants.sequence(), grants.answer());
	}

	static AnswerId seenBy(TokenReport report) {
		return new AnswerId(report.seenSequence(), report.seenAnswer());
	}

	@Override
	public int compareTo(AnswerId other) {
		return ORDER.compare(this, other);
	}

}
