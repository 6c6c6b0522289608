package io.burdockpin.core.state;

import java.util.Comparator;

import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * Identifies a claim. Ordered by the time in the request identifier, so that the oldest
 * claims come first.
 *
 * @param team the team of the caller, or the reserved team of open queues
 * @param requestId the request identifier that the caller chose
 */
public record ClaimKey(TeamName team, RequestId requestId) implements Comparable<ClaimKey> {

	private static final Comparator<ClaimKey> ORDER = Comparator.comparingLong(ClaimKey::identifierMillis)
		.thenComparing(ClaimKey::requestId)
		.thenComparing(ClaimKey::team);

	private static final int MAX_SECONDS_DIGITS = 12;

	/**
	 * Returns the key of a claim.
	 * @return the team and request identifier of the claim
	 */
	public static ClaimKey of(ClaimRecord claim) {
		return new ClaimKey(claim.team(), claim.requestId());
	}

	/**
	 * Returns the time in an identifier of the form {@code <unix seconds>-<token>}.
	 * @return milliseconds since the epoch, or -1 if the identifier has another form
	 */
	public long identifierMillis() {
		String value = this.requestId.value();
		int hyphen = value.indexOf('-');
		if (hyphen < 1 || hyphen > MAX_SECONDS_DIGITS || hyphen == value.length() - 1) {
			return -1;
		}
		String seconds = value.substring(0, hyphen);
		if (!seconds.chars().allMatch((digit) -> digit >= '0' && digit <= '9')) {
			return -1;
		}
		return Long.parseLong(seconds) * 1000;
	}

	@Override
	public int compareTo(ClaimKey other) {
		return ORDER.compare(this, other);
	}

}
