package io.burdockpin.batch.port;

import java.time.InstantSource;

import io.burdockpin.runtime.http.socket.SendCondition;

/**
 * Time window in which a message may be sent. Its end is checked against two clocks: the
 * monotonic clock covers a process that was paused, the wall clock a host that was
 * suspended. Immutable.
 */
public final class SendWindow implements SendCondition {

	private final InstantSource steadyClock;

	private final InstantSource wallClock;

	private final long steadyEndMillis;

	private final long wallStartMillis;

	private final long wallEndMillis;

	private SendWindow(InstantSource steadyClock, InstantSource wallClock, long millis) {
		this.steadyClock = steadyClock;
		this.wallClock = wallClock;
		this.steadyEndMillis = steadyClock.millis() + millis;
		this.wallStartMillis = wallClock.millis();
		this.wallEndMillis = this.wallStartMillis + millis;
	}

	/**
	 * Opens a window that starts now.
	 * @param steadyClock a clock that follows the monotonic clock
	 * @param wallClock the time of day
	 * @param millis length of the window
	 * @return an open window
	 */
	public static SendWindow open(InstantSource steadyClock, InstantSource wallClock, long millis) {
		return new SendWindow(steadyClock, wallClock, millis);
	}

	/**
	 * Tells whether the message may still be sent.
	 * @return {@code false} once either clock has passed the end, or if the wall clock
	 * was set back to before the start, since it may then hide a suspension
	 */
	@Override
	public boolean maySend() {
		long wallMillis = this.wallClock.millis();
		return this.steadyClock.millis() < this.steadyEndMillis && wallMillis >= this.wallStartMillis
				&& wallMillis < this.wallEndMillis;
	}

}
