package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.burdockpin.core.model.Holder;

/**
 * Tells when the leases of holders expire and when the tokens of ended incarnations can
 * be released, as far as one leader knows. Mutable, owned by the allocator.
 */
final class LeaseExpirations {

	private final TokenSettings settings;

	private final long leadingSinceMillis;

	private final Map<Holder, Long> renewedMillis = new HashMap<>();

	private final Map<EndedIncarnation, Long> endedMillis = new HashMap<>();

	LeaseExpirations(TokenSettings settings, long leadingSinceMillis) {
		this.settings = settings;
		this.leadingSinceMillis = leadingSinceMillis;
	}

	void renew(Holder holder, long nowMillis) {
		this.renewedMillis.put(holder, nowMillis);
	}

	// A previous leader may have renewed a lease just before this one took over.
	boolean isExpired(Holder holder, long nowMillis) {
		long sinceMillis = this.renewedMillis.getOrDefault(holder, this.leadingSinceMillis);
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.leaseMillis());
	}

	/**
	 * Tells whether the tokens of an ended incarnation can be released because none of
	 * its requests can still be running.
	 * @param holder the ended incarnation
	 * @param hasSuccessor whether a newer incarnation of the same host is registered; a
	 * running host that was forgotten uses its tokens until it has registered one
	 * @param lastReportMillis when its last report arrived, empty without a report
	 * @param nowMillis the current time
	 * @return {@code true} if its tokens can be released
	 */
	boolean isReleasable(Holder holder, boolean hasSuccessor, OptionalLong lastReportMillis, long nowMillis) {
		long sinceMillis = this.endedMillis.computeIfAbsent(new EndedIncarnation(holder, hasSuccessor),
				(key) -> nowMillis);
		// Answers to an incarnation that another process has replaced grant no tokens.
		if (!hasSuccessor) {
			sinceMillis = Math.max(sinceMillis, lastReportMillis.orElse(sinceMillis));
		}
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.maximumRequestMillis());
	}

	private record EndedIncarnation(Holder holder, boolean hasSuccessor) {
	}

}
