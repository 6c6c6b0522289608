package io.burdockpin.core.limit;

import java.util.Comparator;

import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;

/**
 * Identifies one answer of a leader to a life of an entry host within its term. Sorts by
 * the order in which a holder can apply answers.
 *
 * @param sequence number of the report that is answered
 * @param answer 0 for the first answer to the report, higher for each later one
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
