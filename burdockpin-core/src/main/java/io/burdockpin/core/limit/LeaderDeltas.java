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
 * Completes the reports of holders and shortens the grants for them while one member
 * leads in one term. Mutable, owned by one actor; a new term needs a new one.
 */
public final class LeaderDeltas {

	private final Map<Holder, TreeMap<Long, TokenReport>> reports = new HashMap<>();

	private final Map<Holder, TreeMap<AnswerId, TokenGrants>> answers = new HashMap<>();

	/**
	 * Completes a report.
	 * @param received the report as it arrived
	 * @return the whole report, or nothing if its base is not known, so that it must not
	 * be answered
	 */
	public Optional<TokenReport> fromDelta(TokenReport received) {
		TreeMap<Long, TokenReport> known = this.reports.computeIfAbsent(received.holder(), (holder) -> new TreeMap<>());
		Optional<TokenReport> whole = fullReport(received, known);
		whole.ifPresent((report) -> {
			known.put(report.sequence(), report);
			// A holder names no base that is older than one it has named.
			known.headMap(Math.min(received.seenSequence(), report.sequence())).clear();
		});
		return whole;
	}

	/**
	 * Shortens grants.
	 * @param report the whole report that they answer
	 * @param whole the grants as the allocator wrote them
	 * @return the grants to send
	 */
	public TokenGrants toDelta(TokenReport report, TokenGrants whole) {
		TreeMap<AnswerId, TokenGrants> known = this.answers.computeIfAbsent(report.holder(),
				(holder) -> new TreeMap<>());
		AnswerId seen = AnswerId.seenBy(report);
		known.headMap(seen).clear();
		Optional<TokenGrants> base = Optional.ofNullable(known.get(seen))
			.filter((grants) -> report.seenTerm() == grants.term());
		known.put(AnswerId.of(whole), whole);
		return base.map((grants) -> delta(whole, grants)).orElse(whole);
	}

	/**
	 * Forgets the holders that are not registered.
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
		Delta<TokenUsage> difference = new Delta<>(received.usages(), received.removed());
		return Optional.ofNullable(known.get(received.baseSequence()))
			.map((base) -> new TokenReport(received.correlation(), received.holder(), received.sequence(),
					received.seenTerm(), received.seenSequence(), received.seenAnswer(), 0,
					difference.appliedTo(base.usages(), TokenUsage::team), List.of()));
	}

	private static TokenGrants delta(TokenGrants whole, TokenGrants base) {
		Delta<TokenGrant> difference = Delta.between(base.grants(), whole.grants(), TokenGrant::team);
		return new TokenGrants(whole.correlation(), whole.term(), whole.sequence(), whole.answer(), whole.leaseMillis(),
				base.sequence(), difference.changed(), difference.removed());
	}

}
