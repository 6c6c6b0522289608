package io.burdockpin.core.batch.lead.run;

import java.util.OptionalLong;

/**
 * Lease of one incarnation of a runner. The runner ends it by its own clock, which may be
 * slow, so the leader waits longer before it counts the lease as expired. Not
 * thread-safe; owned by the session.
 */
final class RunnerLease {

	private final SessionSettings settings;

	/** Time of the runner's clock in its latest answer. */
	private OptionalLong clockMillis = OptionalLong.empty();

	private long clockReadMillis;

	private OptionalLong grantedMillis = OptionalLong.empty();

	private long expiryMillis;

	/**
	 * Creates a lease as an earlier leader or session may have granted it.
	 * @param settings settings of the session
	 * @param openedMillis monotonic time at which the session was opened
	 */
	RunnerLease(SessionSettings settings, long openedMillis) {
		this.settings = settings;
		this.expiryMillis = openedMillis + settings.earlierLeaseExpiryMillis();
	}

	/**
	 * Handles a time of the runner's clock.
	 * @param newClockMillis time of the runner's clock
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	void recordClock(long newClockMillis, long nowMillis) {
		this.clockMillis = OptionalLong.of(newClockMillis);
		this.clockReadMillis = nowMillis;
	}

	/**
	 * Checks whether a time of the runner's clock is known.
	 * @return {@code true} if the lease can be extended
	 */
	boolean canBeGranted() {
		return this.clockMillis.isPresent();
	}

	/**
	 * Extends the lease.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return the new end by the runner's clock, or empty if that clock is not known
	 */
	OptionalLong grant(long nowMillis) {
		if (!canBeGranted()) {
			return OptionalLong.empty();
		}
		this.grantedMillis = OptionalLong.of(nowMillis);
		long remainingMillis = nowMillis - this.clockReadMillis + this.settings.leaseMillis();
		this.expiryMillis = Math.max(this.expiryMillis,
				this.clockReadMillis + this.settings.safeExpiryMillis(remainingMillis));
		return OptionalLong.of(this.clockMillis.getAsLong() + remainingMillis);
	}

	/**
	 * Checks whether the lease has definitely expired by the runner's clock.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if no lease of this or an earlier leader is in force
	 */
	boolean hasExpired(long nowMillis) {
		return nowMillis >= this.expiryMillis;
	}

	/**
	 * Returns the age of the latest grant of this leader.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return age in milliseconds, or empty if this leader has granted no lease
	 */
	OptionalLong ageMillis(long nowMillis) {
		return this.grantedMillis.isPresent() ? OptionalLong.of(nowMillis - this.grantedMillis.getAsLong())
				: OptionalLong.empty();
	}

}
