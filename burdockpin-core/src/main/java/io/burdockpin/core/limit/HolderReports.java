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

	private final Map<Holder, Heard> reports = new HashMap<>();

	private final Map<TokenKey, Integer> toldCounts = new HashMap<>();

	private final Map<TokenKey, Announcement> announcements = new HashMap<>();

	private final Map<Holder, TreeMap<Long, Long>> answerCounts = new HashMap<>();

	HolderReports(long term) {
		this.term = term;
	}

	void add(TokenReport report, long nowMillis) {
		Heard before = this.reports.get(report.holder());
		if (before != null && before.report().sequence() >= report.sequence()) {
			return;
		}
		this.reports.put(report.holder(), new Heard(report, nowMillis));
		this.toldCounts.keySet().removeIf((key) -> key.holder().equals(report.holder()));
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
	void answered(AnswerId answer, TokenRecord record, int toldCount) {
		TokenKey key = TokenKey.of(record);
		this.toldCounts.merge(key, toldCount, Math::max);
		Announcement announcement = this.announcements.get(key);
		if (announcement == null || announcement.version() != record.version()) {
			this.announcements.put(key, new Announcement(record.version(), answer));
		}
	}

	/**
	 * Returns the newest reports that have been answered and ask for more tokens.
	 * @param nowMillis the current time
	 * @param silentMillis age from which a report does not count any more
	 * @return the reports
	 */
	List<TokenReport> unmet(long nowMillis, long silentMillis) {
		return this.reports.values()
			.stream()
			.filter((heard) -> nowMillis - heard.receivedMillis() < silentMillis)
			.map(Heard::report)
			.filter((report) -> report.usages().stream().anyMatch((usage) -> usage.waitingCount() > 0))
			.filter((report) -> this.answerCounts.getOrDefault(report.holder(), new TreeMap<>())
				.containsKey(report.sequence()))
			.toList();
	}

	int toldCount(TokenKey key) {
		return this.toldCounts.getOrDefault(key, 0);
	}

	OptionalLong heardMillis(Holder holder) {
		Heard heard = this.reports.get(holder);
		return (heard != null) ? OptionalLong.of(heard.receivedMillis()) : OptionalLong.empty();
	}

	boolean isHeard(Holder holder, long nowMillis, long silentMillis) {
		Heard heard = this.reports.get(holder);
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
		Heard heard = this.reports.get(record.holder());
		Announcement announcement = this.announcements.get(key);
		boolean confirmed = heard != null && announcement != null && announcement.version() == record.version()
				&& heard.report().seenTerm() == this.term
				&& AnswerId.seenBy(heard.report()).compareTo(announcement.answer()) >= 0;
		if (!confirmed) {
			return Optional.empty();
		}
		int heldCount = usage(key).map(TokenUsage::heldCount).orElse(0);
		return Optional.of(Math.max(heldCount, toldCount(key)));
	}

	private Optional<TokenUsage> usage(TokenKey key) {
		return Optional.ofNullable(this.reports.get(key.holder()))
			.flatMap((heard) -> usage(heard.report(), key.team()));
	}

	private static Optional<TokenUsage> usage(TokenReport report, TeamName team) {
		return report.usages().stream().filter((usage) -> usage.team().equals(team)).findFirst();
	}

	private record Heard(TokenReport report, long receivedMillis) {
	}

	/** The first answer that named a version of a token record. */
	private record Announcement(long version, AnswerId answer) {
	}

}
