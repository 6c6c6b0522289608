package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.burdockpin.core.model.Holder;

/**
 * When leases of holders lapse and when ended lives can have nothing running any more, as
 * one leader knows it. Mutable, owned by the allocator.
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

	// An earlier leader may have renewed a lease just before this one began.
	boolean isExpired(Holder holder, long nowMillis) {
		long sinceMillis = this.renewedMillis.getOrDefault(holder, this.leadingSinceMillis);
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.leaseMillis());
	}

	/**
	 * Tells whether a life that has ended can have nothing running any more.
	 * @param blocked the life
	 * @param succeeded whether a newer life of the same host is registered; a host that
	 * was forgotten although it lives uses its tokens until it registers that one
	 * @param heardMillis when it reported last, if it did
	 * @param nowMillis the current time
	 * @return {@code true} if its tokens are free
	 */
	boolean isReleasable(Holder blocked, boolean succeeded, OptionalLong heardMillis, long nowMillis) {
		long sinceMillis = this.endedMillis.computeIfAbsent(new EndedIncarnation(blocked, succeeded),
				(unknown) -> nowMillis);
		// A life that was replaced by another process gets nothing with its answers.
		if (!succeeded) {
			sinceMillis = Math.max(sinceMillis, heardMillis.orElse(sinceMillis));
		}
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.maximumRequestMillis());
	}

	private record EndedIncarnation(Holder holder, boolean succeeded) {
	}

}
