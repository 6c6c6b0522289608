package io.burdockpin.core.admission;

import io.burdockpin.core.model.RequestId;

/**
 * The times from which identifiers of requests and jobs that are not repeatable are
 * accepted. The record of an earlier use is kept for longer than the window, so a resend
 * inside it is always recognised. Immutable.
 *
 * @param maximumAgeMillis oldest accepted identifier
 * @param maximumAheadMillis how far an identifier may lie in the future
 */
public record RequestIdWindow(long maximumAgeMillis, long maximumAheadMillis) {

	/**
	 * Checks an identifier of the form {@code <unix seconds>-<token>}.
	 * @param requestId the identifier
	 * @param nowMillis the current time
	 * @return whether it has the form and its time lies in the window
	 */
	public boolean contains(RequestId requestId, long nowMillis) {
		return RequestIdTimestamp.parseMillis(requestId)
			.filter((millis) -> millis > nowMillis - this.maximumAgeMillis)
			.filter((millis) -> millis <= nowMillis + this.maximumAheadMillis)
			.isPresent();
	}

}
