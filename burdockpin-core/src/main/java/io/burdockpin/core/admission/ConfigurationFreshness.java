package io.burdockpin.core.admission;

import java.util.OptionalLong;

/**
 * Tells whether the configuration can be relied on after the process was stopped for a
 * while. A resumed process meets requests that waited for it before it hears what was
 * changed meanwhile, for example that a key was withdrawn. Mutable; owned by one actor.
 */
public final class ConfigurationFreshness {

	private final long longestPauseMillis;

	private long seenMillis;

	private long lastPause;

	private boolean confirmed = true;

	/**
	 * Creates the check for a process that runs now.
	 * @param longestPauseMillis how long the process may be stopped without a new check;
	 * longer than the time between two calls of {@link #seen(long)}
	 * @param nowMillis the current time
	 */
	public ConfigurationFreshness(long longestPauseMillis, long nowMillis) {
		this.longestPauseMillis = longestPauseMillis;
		this.seenMillis = nowMillis;
	}

	/**
	 * Takes note that the process runs.
	 * @param nowMillis the current time
	 * @return the number of the pause that ends now, if there was one; the configuration
	 * has to be confirmed after it
	 */
	public OptionalLong seen(long nowMillis) {
		boolean paused = nowMillis - this.seenMillis > this.longestPauseMillis;
		this.seenMillis = nowMillis;
		if (!paused) {
			return OptionalLong.empty();
		}
		this.confirmed = false;
		return OptionalLong.of(++this.lastPause);
	}

	/**
	 * Takes note that the configuration has been confirmed.
	 * @param pause the pause after which the confirmation was asked for
	 */
	public void confirmed(long pause) {
		this.confirmed |= pause == this.lastPause;
	}

	/**
	 * Tells whether the configuration was confirmed after the last pause.
	 * @return {@code false} if it may be as old as the pause was long
	 */
	public boolean isConfirmed() {
		return this.confirmed;
	}

}
