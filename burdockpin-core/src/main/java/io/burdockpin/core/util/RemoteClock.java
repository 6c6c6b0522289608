package io.burdockpin.core.util;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A sample of the clock of another process, taken from one message. Gives a lower bound
 * of the remote clock at later times, {@link #lowerBoundMillis(long)}, which holds for
 * any message delay and any origin of the two clocks, as long as their rates differ by at
 * most one part in a thousand. Immutable.
 *
 * @param remoteMillis remote clock when the message was sent, in milliseconds
 * @param receivedMillis local clock when the message was read, in milliseconds
 */
public record RemoteClock(long remoteMillis, long receivedMillis) {

	/** Covers two clocks that are slewed in opposite directions by 500 ppm each. */
	private static final int RATE_DIFFERENCE_DIVISOR = 1000;

	/**
	 * Returns the better of two samples of the same clock.
	 * @param known the best earlier sample, empty if there is none
	 * @param newer the sample of a newer message
	 * @return the sample with the higher lower bound
	 */
	public static RemoteClock best(Optional<RemoteClock> known, RemoteClock newer) {
		return known.map((older) -> older.improve(newer)).orElse(newer);
	}

	/**
	 * Returns a lower bound of a remote clock at a local time.
	 * @param known the best sample of the remote clock, empty if there is none
	 * @param localMillis time by the local clock, not before the message was read
	 * @return time by the remote clock in milliseconds, empty without a sample
	 */
	public static OptionalLong lowerBoundMillis(Optional<RemoteClock> known, long localMillis) {
		return known.map((clock) -> OptionalLong.of(clock.lowerBoundMillis(localMillis)))
			.orElseGet(OptionalLong::empty);
	}

	/**
	 * Returns a lower bound of the remote clock at a local time.
	 * @param localMillis time by the local clock, not before the message was read
	 * @return time by the remote clock in milliseconds
	 */
	public long lowerBoundMillis(long localMillis) {
		long elapsedMillis = localMillis - this.receivedMillis;
		return this.remoteMillis + elapsedMillis - elapsedMillis / RATE_DIFFERENCE_DIVISOR;
	}

	/**
	 * Returns the better of this sample and a newer one of the same clock. A message that
	 * was read long after it was sent, for example after a freeze, does not replace a
	 * better sample.
	 * @param newer the sample of a newer message
	 * @return the sample with the higher lower bound
	 */
	public RemoteClock improve(RemoteClock newer) {
		return (newer.remoteMillis >= lowerBoundMillis(newer.receivedMillis)) ? newer : this;
	}

}
