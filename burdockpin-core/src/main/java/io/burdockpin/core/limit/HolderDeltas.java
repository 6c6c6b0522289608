package io.burdockpin.core.limit;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;

/**
 * Reduces the reports of a holder to deltas against a report that the leader has
 * answered, and restores full grants from the deltas of the leader. Lossless: the leader
 * gets the same reports, and the holder the same grants, as if every message were sent in
 * full. Mutable, owned by the actor that owns the {@link LocalTokens}.
 * <p>
 * A report is sent in full unless the previous one has been answered. A new leader does
 * not know the base of a delta and does not answer it, so it gets the next report in
 * full. The base of every answer to a report is the grants that the report acknowledges
 * as applied, even if another answer to it has been applied in the meantime.
 */
public final class HolderDeltas {

	/**
	 * Longest time between two full reports, which limits how long an error in a delta
	 * can persist. The full reports of 7 hosts with 110 teams and their grants take 0.3
	 * KB/s at this period.
	 */
	private static final long FULL_REPORT_PERIOD_MILLIS = 120_000;

	private Optional<TokenReport> newest = Optional.empty();

	private Optional<TokenGrants> applied = Optional.empty();

	private Optional<TokenGrants> base = Optional.empty();

	private long lastFullReportMillis;

	/**
	 * Reduces a report to a delta.
	 * @param full the full report
	 * @param nowMillis the current time
	 * @return the report to send: a delta, or the full report if the previous one has not
	 * been answered or a full report is due
	 */
	public TokenReport toDelta(TokenReport full, long nowMillis) {
		Optional<TokenReport> base = this.newest
			.filter((previous) -> isAnswered(previous) && !isFullReportDue(nowMillis));
		this.newest = Optional.of(full);
		this.base = this.applied;
		if (base.isEmpty()) {
			this.lastFullReportMillis = nowMillis;
			return full;
		}
		Delta<TokenUsage> delta = Delta.between(base.get().usages(), full.usages(), TokenUsage::team);
		return new TokenReport(full.correlation(), full.holder(), full.sequence(), full.seenTerm(), full.seenSequence(),
				full.seenAnswer(), base.get().sequence(), delta.changed(), delta.removed());
	}

	/**
	 * Restores full grants from a delta.
	 * @param received the grants as received, in full or as a delta
	 * @return the full grants, empty if the base of the delta is not the grants that the
	 * newest report acknowledges as applied
	 */
	public Optional<TokenGrants> fromDelta(TokenGrants received) {
		if (received.baseSequence() == 0) {
			return Optional.of(received);
		}
		Delta<TokenGrant> delta = new Delta<>(received.grants(), received.removed());
		return this.base.filter((grants) -> isBaseOf(received, grants))
			.map((grants) -> new TokenGrants(received.correlation(), received.term(), received.sequence(),
					received.answer(), received.leaseMillis(), 0, delta.applyTo(grants.grants(), TokenGrant::team),
					List.of()));
	}

	/**
	 * Handles grants that the holder has applied.
	 * @param full the full grants
	 */
	public void onApplied(TokenGrants full) {
		this.applied = Optional.of(full);
	}

	// helpers

	private boolean isBaseOf(TokenGrants received, TokenGrants applied) {
		return this.newest.filter((report) -> report.sequence() == received.sequence()).isPresent()
				&& applied.term() == received.term() && applied.sequence() == received.baseSequence();
	}

	private boolean isAnswered(TokenReport report) {
		return this.applied.filter((grants) -> grants.sequence() == report.sequence()).isPresent();
	}

	private boolean isFullReportDue(long nowMillis) {
		return nowMillis - this.lastFullReportMillis >= FULL_REPORT_PERIOD_MILLIS;
	}

}
