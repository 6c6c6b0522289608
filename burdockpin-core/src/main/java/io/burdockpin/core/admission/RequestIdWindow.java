package io.burdockpin.core.admission;

import io.burdockpin.core.model.RequestId;

/**
 * The time window in which the identifiers of requests and jobs that are not repeatable
 * are accepted. The record of an earlier use is kept for longer than the window, so a
 * repeated identifier within the window is always recognised. Immutable.
 *
 * @param maximumAgeMillis how far the time of an identifier may lie in the past
 * @param maximumAheadMillis how far the time of an identifier may lie in the future
 */
public record RequestIdWindow(long maximumAgeMillis, long maximumAheadMillis) {

	/**
	 * Checks an identifier of the form {@code <unix seconds>-<token>}.
	 * @param requestId the identifier
	 * @param nowMillis the current time
	 * @return {@code false} if it has another form or its time lies outside the window
	 */
	public boolean contains(RequestId requestId, long nowMillis) {
		return RequestIdTimestamp.parseMillis(requestId)
			.filter((millis) -> millis > nowMillis - this.maximumAgeMillis)
			.filter((millis) -> millis <= nowMillis + this.maximumAheadMillis)
			.isPresent();
	}

}
