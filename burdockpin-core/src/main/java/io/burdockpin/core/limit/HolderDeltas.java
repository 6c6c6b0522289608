package io.burdockpin.core.limit;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;

/**
 * Shortens the reports of a holder to what has changed since one that the leader has
 * answered, and completes the grants. Nothing is lost by it: the leader sees the same
 * reports and the wallet the same grants as if all were sent whole. Mutable, owned by the
 * owner of the wallet.
 * <p>
 * A report is whole unless the one before it was answered, so a new leader, which does
 * not know the base and therefore does not answer, gets the next one whole. The base of
 * all answers to a report are the grants that the report names as applied, whether or not
 * another answer to it has been applied meanwhile.
 */
public final class HolderDeltas {

	/**
	 * Bounds how long a fault in the shortened reports could last. At 110 teams the whole
	 * reports of 7 hosts and their grants are 0.3 KB/s at this period.
	 */
	private static final long FULL_REPORT_PERIOD_MILLIS = 120_000;

	private Optional<TokenReport> newest = Optional.empty();

	private Optional<TokenGrants> onApplied = Optional.empty();

	private Optional<TokenGrants> base = Optional.empty();

	private long lastFullReportMillis;

	/**
	 * Shortens a report.
	 * @param whole the report as the wallet wrote it
	 * @param nowMillis the current time
	 * @return the report to send
	 */
	public TokenReport toDelta(TokenReport whole, long nowMillis) {
		Optional<TokenReport> base = this.newest.filter((before) -> isAnswered(before) && !isFullReportDue(nowMillis));
		this.newest = Optional.of(whole);
		this.base = this.onApplied;
		if (base.isEmpty()) {
			this.lastFullReportMillis = nowMillis;
			return whole;
		}
		Delta<TokenUsage> difference = Delta.between(base.get().usages(), whole.usages(), TokenUsage::team);
		return new TokenReport(whole.correlation(), whole.holder(), whole.sequence(), whole.seenTerm(),
				whole.seenSequence(), whole.seenAnswer(), base.get().sequence(), difference.changed(),
				difference.removed());
	}

	/**
	 * Completes grants.
	 * @param received the grants as they arrived
	 * @return the whole grants, or nothing if they do not fit what the newest report
	 * names as applied
	 */
	public Optional<TokenGrants> fromDelta(TokenGrants received) {
		if (received.baseSequence() == 0) {
			return Optional.of(received);
		}
		Delta<TokenGrant> difference = new Delta<>(received.grants(), received.removed());
		return this.base.filter((grants) -> isBaseOf(received, grants))
			.map((grants) -> new TokenGrants(received.correlation(), received.term(), received.sequence(),
					received.answer(), received.leaseMillis(), 0,
					difference.appliedTo(grants.grants(), TokenGrant::team), List.of()));
	}

	/**
	 * Takes note that the wallet has applied grants.
	 * @param whole the whole grants
	 */
	public void onApplied(TokenGrants whole) {
		this.onApplied = Optional.of(whole);
	}

	// helpers

	private boolean isBaseOf(TokenGrants received, TokenGrants applied) {
		return this.newest.filter((report) -> report.sequence() == received.sequence()).isPresent()
				&& applied.term() == received.term() && applied.sequence() == received.baseSequence();
	}

	private boolean isAnswered(TokenReport report) {
		return this.onApplied.filter((grants) -> grants.sequence() == report.sequence()).isPresent();
	}

	private boolean isFullReportDue(long nowMillis) {
		return nowMillis - this.lastFullReportMillis >= FULL_REPORT_PERIOD_MILLIS;
	}

}
