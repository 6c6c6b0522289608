package io.burdockpin.core.admission;

import java.util.OptionalLong;

/**
 * Tells whether the configuration can be relied on after the process was stopped for a
 * while. A resumed process meets requests that waited for it before it hears what was
 * changed meanwhile, for example that a key was withdrawn. Mutable; owned by one actor.
 */
public final class ConfigurationFreshness {

	private final long maximumPauseMillis;

	private long lastActivityMillis;

	private long lastPauseNumber;

	private boolean confirm = true;

	/**
	 * Creates the check for a process that runs now.
	 * @param longestPauseMillis how long the process may be stopped without a new check;
	 * longer than the time between two calls of {@link #recordActivity(long)}
	 * @param nowMillis the current time
	 */
	public ConfigurationFreshness(long longestPauseMillis, long nowMillis) {
		this.maximumPauseMillis = longestPauseMillis;
		this.lastActivityMillis = nowMillis;
	}

	/**
	 * Takes note that the process runs.
	 * @param nowMillis the current time
	 * @return the number of the pause that ends now, if there was one; the configuration
	 * has to be confirmed after it
	 */
	public OptionalLong recordActivity(long nowMillis) {
		boolean paused = nowMillis - this.lastActivityMillis > this.maximumPauseMillis;
		this.lastActivityMillis = nowMillis;
		if (!paused) {
			return OptionalLong.empty();
		}
		this.confirm = false;
		return OptionalLong.of(++this.lastPauseNumber);
	}

	/**
	 * Takes note that the configuration has been confirmed.
	 * @param pause the pause after which the confirmation was asked for
	 */
	public void confirm(long pause) {
		this.confirm |= pause == this.lastPauseNumber;
	}

	/**
	 * Tells whether the configuration was confirmed after the last pause.
	 * @return {@code false} if it may be as old as the pause was long
	 */
	public boolean isConfirmed() {
		return this.confirm;
	}

}
