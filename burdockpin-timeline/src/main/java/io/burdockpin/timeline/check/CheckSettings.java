package io.burdockpin.timeline.check;

/**
 * Bounds of the checks. Immutable.
 *
 * @param withdrawalBoundMillis how long a withdrawn key may still be accepted elsewhere
 * @param clockDifferenceMillis how far the clocks of two hosts may differ; work that
 * ended no longer than this before other work started does not count as running with it
 * @param limitSettleMillis how long work may run under an upper limit that was lowered
 */
public record CheckSettings(long withdrawalBoundMillis, long clockDifferenceMillis, long limitSettleMillis) {

	/**
	 * Configuration is in force everywhere within 8 s (design section 1.6). A request
	 * takes at most 60 s and tokens that are asked back are kept for a fifth more.
	 */
	public static final CheckSettings DEFAULT = new CheckSettings(8000, 10, 72_000);

	/**
	 * Returns these settings with another bound.
	 * @param millis how long a withdrawn key may still be accepted elsewhere
	 * @return the changed settings
	 */
	public CheckSettings withWithdrawalBoundMillis(long millis) {
		return new CheckSettings(millis, this.clockDifferenceMillis, this.limitSettleMillis);
	}

	/**
	 * Returns these settings for other clocks.
	 * @param millis how far the clocks of two hosts may differ
	 * @return the changed settings
	 */
	public CheckSettings withClockDifferenceMillis(long millis) {
		return new CheckSettings(this.withdrawalBoundMillis, millis, this.limitSettleMillis);
	}

}
