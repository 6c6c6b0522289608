package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.state.HolderRecord;

/**
 * Restores full reports from the deltas of holders and reduces grants to deltas, for one
 * leader in one term. Mutable, owned by one actor; a new term needs a new instance.
 */
public final class LeaderDeltas {

	private final Map<Holder, TreeMap<Long, TokenReport>> reports = new HashMap<>();

	private final Map<Holder, TreeMap<AnswerId, TokenGrants>> answers = new HashMap<>();

	/**
	 * Restores the full report from a delta.
	 * @param received the report as received, in full or as a delta
	 * @return the full report, empty if the base of the delta is not known; then the
	 * report must not be answered
	 */
	public Optional<TokenReport> fromDelta(TokenReport received) {
		TreeMap<Long, TokenReport> known = this.reports.computeIfAbsent(received.holder(), (holder) -> new TreeMap<>());
		Optional<TokenReport> full = fullReport(received, known);
		full.ifPresent((report) -> {
			known.put(report.sequence(), report);
			// A holder never goes back to an older base.
			known.headMap(Math.min(received.seenSequence(), report.sequence())).clear();
		});
		return full;
	}

	/**
	 * Reduces grants to a delta.
	 * @param report the full report that they answer
	 * @param full the full grants
	 * @return the grants to send: a delta against the grants that the report acknowledges
	 * as applied, or the full grants if those are not known
	 */
	public TokenGrants toDelta(TokenReport report, TokenGrants full) {
		TreeMap<AnswerId, TokenGrants> known = this.answers.computeIfAbsent(report.holder(),
				(holder) -> new TreeMap<>());
		AnswerId seen = AnswerId.seenBy(report);
		known.headMap(seen).clear();
		Optional<TokenGrants> base = Optional.ofNullable(known.get(seen))
			.filter((grants) -> report.seenTerm() == grants.term());
		known.put(AnswerId.of(full), full);
		return base.map((grants) -> delta(full, grants)).orElse(full);
	}

	/**
	 * Discards the messages of holders that are no longer registered.
	 * @param view the replicated records
	 */
	public void retain(TokenView view) {
		Set<Holder> registered = view.holders().stream().map(HolderRecord::holder).collect(Collectors.toSet());
		this.reports.keySet().retainAll(registered);
		this.answers.keySet().retainAll(registered);
	}

	// helpers

	private static Optional<TokenReport> fullReport(TokenReport received, Map<Long, TokenReport> known) {
		if (received.baseSequence() == 0) {
			return Optional.of(received);
		}
		Delta<TokenUsage> delta = new Delta<>(received.usages(), received.removed());
		return Optional.ofNullable(known.get(received.baseSequence()))
			.map((base) -> new TokenReport(received.correlation(), received.holder(), received.sequence(),
					received.seenTerm(), received.seenSequence(), received.seenAnswer(), 0,
					delta.applyTo(base.usages(), TokenUsage::team), List.of()));
	}

	private static TokenGrants delta(TokenGrants full, TokenGrants base) {
		Delta<TokenGrant> delta = Delta.between(base.grants(), full.grants(), TokenGrant::team);
		return new TokenGrants(full.correlation(), full.term(), full.sequence(), full.answer(), full.leaseMillis(),
				base.sequence(), delta.changed(), delta.removed());
	}

}
