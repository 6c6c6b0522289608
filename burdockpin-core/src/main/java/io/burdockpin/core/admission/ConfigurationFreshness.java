package io.burdockpin.core.admission;

import java.util.OptionalLong;

/**
 * Tells whether the configuration may be outdated because the process was paused. A
 * resumed process receives requests that waited for it before it receives the changes
 * made in the meantime, such as the withdrawal of a key. Mutable, owned by one actor.
 */
public final class ConfigurationFreshness {

	private final long maximumPauseMillis;

	private long lastActivityMillis;

	private long lastPauseNumber;

	private boolean confirmed = true;

	/**
	 * Creates the check with a confirmed configuration.
	 * @param maximumPauseMillis longest pause after which no confirmation is needed;
	 * longer than the time between two calls of {@link #recordActivity(long)}
	 * @param nowMillis the current time
	 */
	public ConfigurationFreshness(long maximumPauseMillis, long nowMillis) {
		this.maximumPauseMillis = maximumPauseMillis;
		this.lastActivityMillis = nowMillis;
	}

	/**
	 * Records that the process is running. Must be called regularly.
	 * @param nowMillis the current time
	 * @return the number of the pause that has just ended, after which the configuration
	 * has to be confirmed; empty if there was no pause
	 */
	public OptionalLong recordActivity(long nowMillis) {
		boolean paused = nowMillis - this.lastActivityMillis > this.maximumPauseMillis;
		this.lastActivityMillis = nowMillis;
		if (!paused) {
			return OptionalLong.empty();
		}
		this.confirmed = false;
		return OptionalLong.of(++this.lastPauseNumber);
	}

	/**
	 * Handles a confirmation of the configuration. It is ignored if another pause has
	 * followed.
	 * @param pause number of the pause after which the confirmation was requested
	 */
	public void confirm(long pause) {
		this.confirmed |= pause == this.lastPauseNumber;
	}

	/**
	 * Tells whether the configuration has been confirmed since the last pause.
	 * @return {@code false} if it may lack the changes made during the pause
	 */
	public boolean isConfirmed() {
		return this.confirmed;
	}

}
