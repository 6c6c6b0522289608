package io.burdockpin.core.batch.lead;

/**
 * Spreads the first contacts of a new leader with its runners. Opening the connections to
 * hundreds of runners at once takes longer than an election timeout on a small host, so
 * the other members would elect another leader, and that one the next. Mutable; owned by
 * the leader.
 */
final class ContactAllowance {

	/**
	 * A connection takes some milliseconds of a core; hundreds of runners are asked well
	 * within their leases.
	 */
	private static final double CONTACTS_PER_MILLI = 0.12;

	private static final double LARGEST_BURST = 8;

	private double allowance = LARGEST_BURST;

	private long refilledMillis;

	ContactAllowance(long nowMillis) {
		this.refilledMillis = nowMillis;
	}

	void refill(long nowMillis) {
		double earned = CONTACTS_PER_MILLI * (nowMillis - this.refilledMillis);
		this.allowance = Math.min(LARGEST_BURST, this.allowance + earned);
		this.refilledMillis = nowMillis;
	}

	boolean has() {
		return this.allowance >= 1;
	}

	void take(boolean isFirstContact) {
		if (isFirstContact) {
			this.allowance--;
		}
	}

}
