package io.burdockpin.core.admission;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.burdockpin.core.model.RequestId;

/** Parses the time in identifiers of the form {@code <unix seconds>-<token>}. */
final class RequestIdTimestamp {

	/** A value of at most twelve digits does not overflow when multiplied by 1000. */
	private static final Pattern FORM = Pattern.compile("([0-9]{1,12})-.+");

	private static final long SECOND_MILLIS = 1000;

	private RequestIdTimestamp() {
	}

	static Optional<Long> parseMillis(RequestId requestId) {
		Matcher matcher = FORM.matcher(requestId.value());
		return matcher.matches() ? Optional.of(Long.parseLong(matcher.group(1)) * SECOND_MILLIS) : Optional.empty();
	}

}
