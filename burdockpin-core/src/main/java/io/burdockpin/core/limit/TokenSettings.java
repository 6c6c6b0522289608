package io.burdockpin.core.limit;

import io.burdockpin.core.util.Checks;

/**
 * Periods of the token protocol. Immutable.
 *
 * @param leaseMillis how long leased tokens last without renewal; longer than the default
 * request timeout and its margin
 * @param maximumRequestMillis longest time that a request runs
 * @param reportTimeoutMillis time without a report after which a holder's tokens are not
 * counted on; longer than two report periods
 */
public record TokenSettings(long leaseMillis, long maximumRequestMillis, long reportTimeoutMillis) {

	/** Lease 45 s, requests up to 60 s, silent after 3 s. */
	public static final TokenSettings DEFAULT = new TokenSettings(45_000, 60_000, 3_000);

	/** The margin is a fifth of the period it belongs to. */
	private static final int MARGIN_DIVISOR = 5;

	public TokenSettings {
		Checks.range("leaseMillis", leaseMillis, 1, 3_600_000);
		Checks.range("maximumRequestMillis", maximumRequestMillis, 1, 3_600_000);
		Checks.range("silentMillis", reportTimeoutMillis, 1, 3_600_000);
	}

	/**
	 * Adds the margin for clocks that run at different speeds.
	 * @param periodMillis a period
	 * @return the period and a fifth of it
	 */
	public static long withMargin(long periodMillis) {
		return periodMillis + periodMillis / MARGIN_DIVISOR;
	}

}
