package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.TokenRecord;

/**
 * Reports that holders have sent to this leader in its term, and the counts that the
 * answers announced to them. Mutable, owned by the allocator.
 * <p>
 * A report proves that tokens were returned only if the holder had seen the current token
 * record before it sent the report. Otherwise the report may be older than a grant.
 */
final class HolderReports {

	private final long term;

	private final Map<Holder, ReceivedReport> reports = new HashMap<>();

	private final Map<TokenKey, Integer> announcedCounts = new HashMap<>();

	private final Map<TokenKey, FirstAnswer> firstAnswers = new HashMap<>();

	private final Map<Holder, TreeMap<Long, Long>> answerCounts = new HashMap<>();

	HolderReports(long term) {
		this.term = term;
	}

	void add(TokenReport report, long nowMillis) {
		ReceivedReport previous = this.reports.get(report.holder());
		if (previous != null && previous.report().sequence() >= report.sequence()) {
			return;
		}
		this.reports.put(report.holder(), new ReceivedReport(report, nowMillis));
		this.announcedCounts.keySet().removeIf((key) -> key.holder().equals(report.holder()));
	}

	/**
	 * Allocates the identifier of the next answer to a report.
	 * @param report the report to answer
	 * @return an identifier that no other answer to the report has
	 */
	AnswerId nextAnswer(TokenReport report) {
		TreeMap<Long, Long> counts = this.answerCounts.computeIfAbsent(report.holder(), (holder) -> new TreeMap<>());
		// A holder ignores answers to reports older than the one it acknowledges.
		counts.headMap(report.seenSequence()).clear();
		return new AnswerId(report.sequence(), counts.merge(report.sequence(), 1L, Long::sum) - 1);
	}

	/**
	 * Records an answer. From now on the holder may have applied it.
	 * @param answer identifier of the answer
	 * @param record token record on which the answer is based
	 * @param announcedCount number of tokens that the answer announces, less than in the
	 * record while a reduction is pending
	 */
	void recordAnswer(AnswerId answer, TokenRecord record, int announcedCount) {
		TokenKey key = TokenKey.of(record);
		this.announcedCounts.merge(key, announcedCount, Math::max);
		FirstAnswer firstAnswer = this.firstAnswers.get(key);
		if (firstAnswer == null || firstAnswer.version() != record.version()) {
			this.firstAnswers.put(key, new FirstAnswer(record.version(), answer));
		}
	}

	/**
	 * Returns the newest report of each holder if it has been answered and requests wait
	 * for tokens.
	 * @param nowMillis the current time
	 * @param reportTimeoutMillis age from which a report is ignored
	 * @return the reports, in no particular order
	 */
	List<TokenReport> withUnmetDemand(long nowMillis, long reportTimeoutMillis) {
		return this.reports.values()
			.stream()
			.filter((received) -> nowMillis - received.receivedMillis() < reportTimeoutMillis)
			.map(ReceivedReport::report)
			.filter((report) -> report.usages().stream().anyMatch((usage) -> usage.waitingCount() > 0))
			.filter((report) -> this.answerCounts.getOrDefault(report.holder(), new TreeMap<>())
				.containsKey(report.sequence()))
			.toList();
	}

	int announcedCount(TokenKey key) {
		return this.announcedCounts.getOrDefault(key, 0);
	}

	OptionalLong lastReportMillis(Holder holder) {
		ReceivedReport received = this.reports.get(holder);
		return (received != null) ? OptionalLong.of(received.receivedMillis()) : OptionalLong.empty();
	}

	boolean isReporting(Holder holder, long nowMillis, long reportTimeoutMillis) {
		ReceivedReport received = this.reports.get(holder);
		return received != null && nowMillis - received.receivedMillis() < reportTimeoutMillis;
	}

	int demand(TokenKey key) {
		return usage(key).map((usage) -> usage.inUseCount() + usage.waitingCount()).orElse(0);
	}

	/**
	 * Returns the upper bound of the tokens that a holder can have according to its own
	 * reports.
	 * @param record the current token record
	 * @return the bound, empty if the holder has not confirmed the record
	 */
	Optional<Integer> confirmedCount(TokenRecord record) {
		TokenKey key = TokenKey.of(record);
		ReceivedReport received = this.reports.get(record.holder());
		FirstAnswer firstAnswer = this.firstAnswers.get(key);
		boolean confirmed = received != null && firstAnswer != null && firstAnswer.version() == record.version()
				&& received.report().seenTerm() == this.term
				&& AnswerId.seenBy(received.report()).compareTo(firstAnswer.answer()) >= 0;
		if (!confirmed) {
			return Optional.empty();
		}
		int heldCount = usage(key).map(TokenUsage::heldCount).orElse(0);
		return Optional.of(Math.max(heldCount, announcedCount(key)));
	}

	private Optional<TokenUsage> usage(TokenKey key) {
		return Optional.ofNullable(this.reports.get(key.holder()))
			.flatMap((received) -> usage(received.report(), key.team()));
	}

	private static Optional<TokenUsage> usage(TokenReport report, TeamName team) {
		return report.usages().stream().filter((usage) -> usage.team().equals(team)).findFirst();
	}

	private record ReceivedReport(TokenReport report, long receivedMillis) {
	}

	/** The first answer that announced a version of a token record. */
	private record FirstAnswer(long version, AnswerId answer) {
	}

}
