package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.Holder;

/**
 * When leases of holders lapse and when ended lives can have nothing running any more, as
 * one leader knows it. Mutable, owned by the allocator.
 */
final class LapseTable {

	private final TokenSettings settings;

	private final long leadingSinceMillis;

	private final Map<Holder, Long> renewedMillis = new HashMap<>();

	private final Map<Holder, Long> blockedMillis = new HashMap<>();

	LapseTable(TokenSettings settings, long leadingSinceMillis) {
		this.settings = settings;
		this.leadingSinceMillis = leadingSinceMillis;
	}

	void renew(Holder holder, long nowMillis) {
		this.renewedMillis.put(holder, nowMillis);
	}

	// An earlier leader may have renewed a lease just before this one began.
	boolean isLapsed(Holder holder, long nowMillis) {
		long sinceMillis = this.renewedMillis.getOrDefault(holder, this.leadingSinceMillis);
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.leaseMillis());
	}

	boolean isOver(Holder blocked, long nowMillis) {
		long sinceMillis = this.blockedMillis.computeIfAbsent(blocked, (unknown) -> nowMillis);
		return nowMillis - sinceMillis >= TokenSettings.withMargin(this.settings.maximumRequestMillis());
	}

}
