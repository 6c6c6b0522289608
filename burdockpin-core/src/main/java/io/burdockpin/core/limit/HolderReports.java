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
 * What holders reported to this leader in its term and what they were told since.
 * Mutable, owned by the allocator.
 * <p>
 * A report proves that tokens were given back only if the holder had seen the present
 * token record before it sent the report. Until then the report may be older than a
 * grant.
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
		ReceivedReport before = this.reports.get(report.holder());
		if (before != null && before.report().sequence() >= report.sequence()) {
			return;
		}
		this.reports.put(report.holder(), new ReceivedReport(report, nowMillis));
		this.announcedCounts.keySet().removeIf((key) -> key.holder().equals(report.holder()));
	}

	/**
	 * Numbers the next answer to a report.
	 * @param report the report
	 * @return the answer, which no other answer to the report equals
	 */
	AnswerId nextAnswer(TokenReport report) {
		TreeMap<Long, Long> counts = this.answerCounts.computeIfAbsent(report.holder(), (holder) -> new TreeMap<>());
		// A holder ignores answers to reports older than the one it names.
		counts.headMap(report.seenSequence()).clear();
		return new AnswerId(report.sequence(), counts.merge(report.sequence(), 1L, Long::sum) - 1);
	}

	/**
	 * Takes note of an answer that a holder may already have applied.
	 * @param answer the answer
	 * @param record the token record that was told
	 * @param toldCount the count that was told
	 */
	void recordAnswer(AnswerId answer, TokenRecord record, int toldCount) {
		TokenKey key = TokenKey.of(record);
		this.announcedCounts.merge(key, toldCount, Math::max);
		FirstAnswer announcement = this.firstAnswers.get(key);
		if (announcement == null || announcement.version() != record.version()) {
			this.firstAnswers.put(key, new FirstAnswer(record.version(), answer));
		}
	}

	/**
	 * Returns the newest reports that have been answered and ask for more tokens.
	 * @param nowMillis the current time
	 * @param silentMillis age from which a report does not count any more
	 * @return the reports
	 */
	List<TokenReport> withUnmetDemand(long nowMillis, long silentMillis) {
		return this.reports.values()
			.stream()
			.filter((heard) -> nowMillis - heard.receivedMillis() < silentMillis)
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
		ReceivedReport heard = this.reports.get(holder);
		return (heard != null) ? OptionalLong.of(heard.receivedMillis()) : OptionalLong.empty();
	}

	boolean isReporting(Holder holder, long nowMillis, long silentMillis) {
		ReceivedReport heard = this.reports.get(holder);
		return heard != null && nowMillis - heard.receivedMillis() < silentMillis;
	}

	int demandOf(TokenKey key) {
		return usage(key).map((usage) -> usage.inUseCount() + usage.waitingCount()).orElse(0);
	}

	/**
	 * Returns how many tokens a holder can have at most by its own account.
	 * @param record the present token record
	 * @return the bound, or nothing if the holder has not confirmed the record
	 */
	Optional<Integer> confirmedCount(TokenRecord record) {
		TokenKey key = TokenKey.of(record);
		ReceivedReport heard = this.reports.get(record.holder());
		FirstAnswer announcement = this.firstAnswers.get(key);
		boolean confirmed = heard != null && announcement != null && announcement.version() == record.version()
				&& heard.report().seenTerm() == this.term
				&& AnswerId.seenBy(heard.report()).compareTo(announcement.answer()) >= 0;
		if (!confirmed) {
			return Optional.empty();
		}
		int heldCount = usage(key).map(TokenUsage::heldCount).orElse(0);
		return Optional.of(Math.max(heldCount, announcedCount(key)));
	}

	private Optional<TokenUsage> usage(TokenKey key) {
		return Optional.ofNullable(this.reports.get(key.holder()))
			.flatMap((heard) -> usage(heard.report(), key.team()));
	}

	private static Optional<TokenUsage> usage(TokenReport report, TeamName team) {
		return report.usages().stream().filter((usage) -> usage.team().equals(team)).findFirst();
	}

	private record ReceivedReport(TokenReport report, long receivedMillis) {
	}

	/** The first answer that named a version of a token record. */
	private record FirstAnswer(long version, AnswerId answer) {
	}

}
