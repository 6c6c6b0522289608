package io.burdockpin.core.limit;

import io.burdockpin.core.util.Checks;

/**
 * Time limits of the token protocol. Immutable.
 *
 * @param leaseMillis how long leased tokens are valid without renewal; longer than the
 * default request timeout and its margin
 * @param maximumRequestMillis longest time that a request may run
 * @param reportTimeoutMillis time without a report after which a holder counts as
 * unreachable, so that its tokens cannot be moved; longer than two report periods
 */
public record TokenSettings(long leaseMillis, long maximumRequestMillis, long reportTimeoutMillis) {

	/** Lease 45 s, requests up to 60 s, report timeout 3 s. */
	public static final TokenSettings DEFAULT = new TokenSettings(45_000, 60_000, 3_000);

	/** Margins are a fifth of their period. */
	private static final int MARGIN_DIVISOR = 5;

	public TokenSettings {
		Checks.range("leaseMillis", leaseMillis, 1, 3_600_000);
		Checks.range("maximumRequestMillis", maximumRequestMillis, 1, 3_600_000);
		Checks.range("reportTimeoutMillis", reportTimeoutMillis, 1, 3_600_000);
	}

	/**
	 * Adds a margin that covers clocks running at different rates.
	 * @param periodMillis the period without a margin
	 * @return the period increased by a fifth
	 */
	public static long withMargin(long periodMillis) {
		return periodMillis + periodMillis / MARGIN_DIVISOR;
	}

}
