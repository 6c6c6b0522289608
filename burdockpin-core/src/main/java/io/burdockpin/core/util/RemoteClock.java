package io.burdockpin.core.util;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What is known about the clock of another process from one message that carried it. The
 * other clock never reads less than {@link #lowerBoundMillis(long)}, however long the
 * message took and whatever the two clocks started from, as long as their rates differ by
 * at most one part in a thousand. Immutable.
 *
 * @param remoteMillis the clock of the sender when it sent the message, in milliseconds
 * @param receivedMillis the own clock when the message was read, in milliseconds
 */
public record RemoteClock(long remoteMillis, long receivedMillis) {

	/** Two clocks that are being adjusted in opposite directions by 500 ppm each. */
	private static final int RATE_DIFFERENCE_DIVISOR = 1000;

	/**
	 * Takes a message into account.
	 * @param known what is known from earlier messages of the same clock, if there were
	 * any
	 * @param newer what is known from the message
	 * @return the one that says more
	 */
	public static RemoteClock best(Optional<RemoteClock> known, RemoteClock newer) {
		return known.map((older) -> older.improve(newer)).orElse(newer);
	}

	/**
	 * Returns the least time that another clock shows at a time of the own one.
	 * @param known what is known of the other clock
	 * @param localMillis time of the own clock, not before the message was read
	 * @return time of the other clock in milliseconds, or nothing if it is not known
	 */
	public static OptionalLong lowerBoundMillis(Optional<RemoteClock> known, long localMillis) {
		return known.map((clock) -> OptionalLong.of(clock.lowerBoundMillis(localMillis)))
			.orElseGet(OptionalLong::empty);
	}

	/**
	 * Returns the least time that the other clock shows at a time of the own one.
	 * @param localMillis time of the own clock, not before the message was read
	 * @return time of the other clock in milliseconds
	 */
	public long lowerBoundMillis(long localMillis) {
		long elapsedMillis = localMillis - this.receivedMillis;
		return this.remoteMillis + elapsedMillis - elapsedMillis / RATE_DIFFERENCE_DIVISOR;
	}

	/**
	 * Takes a newer message of the same clock into account. A message that was read long
	 * after it was sent, for example after a freeze, does not replace a better one.
	 * @param newer what is known from the newer message
	 * @return the one that says more
	 */
	public RemoteClock improve(RemoteClock newer) {
		return (newer.remoteMillis >= lowerBoundMillis(newer.receivedMillis)) ? newer : this;
	}

}
