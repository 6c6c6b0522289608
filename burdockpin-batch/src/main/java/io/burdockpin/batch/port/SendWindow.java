package io.burdockpin.batch.port;

import java.time.InstantSource;

import io.burdockpin.runtime.http.socket.SendCondition;

/**
 * Time within which a message may be sent. It ends by two clocks: the monotonic one sees
 * a process that was stopped, the time of day a suspended host. Immutable.
 */
public final class SendWindow implements SendCondition {

	private final InstantSource steadyClock;

	private final InstantSource wallClock;

	private final long steadyEndMillis;

	private final long wallEndMillis;

	private SendWindow(InstantSource steadyClock, InstantSource wallClock, long millis) {
		this.steadyClock = steadyClock;
		this.wallClock = wallClock;
		this.steadyEndMillis = steadyClock.millis() + millis;
		this.wallEndMillis = wallClock.millis() + millis;
	}

	/**
	 * Opens a window that begins now.
	 * @param steadyClock a clock that follows the monotonic clock
	 * @param wallClock the time of day
	 * @param millis how long it is open
	 * @return the window
	 */
	public static SendWindow open(InstantSource steadyClock, InstantSource wallClock, long millis) {
		return new SendWindow(steadyClock, wallClock, millis);
	}

	/**
	 * Tells whether the message may still be sent.
	 * @return {@code false} once either clock has passed the end
	 */
	@Override
	public boolean maySend() {
		return this.steadyClock.millis() < this.steadyEndMillis && this.wallClock.millis() < this.wallEndMillis;
	}

}
