package io.burdockpin.entry.http;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.entry.router.BurdockHeader;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Parses and validates the request headers of callers. */
final class CallerHeaders {

	private static final int MAX_KEY_LENGTH = 256;

	private CallerHeaders() {
	}

	static Optional<KeyHash> keyHash(HttpRequest request) {
		Optional<String> key = value(request, BurdockHeader.KEY);
		if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_LENGTH)) {
			throw invalidHeader(BurdockHeader.KEY, "must have 1 to " + MAX_KEY_LENGTH + " characters");
		}
		return key.map(KeyHash::of);
	}

	static Optional<RequestId> requestId(HttpRequest request) {
		return value(request, BurdockHeader.REQUEST_ID).map(RequestId::new);
	}

	static boolean repeatable(HttpRequest request) {
		String value = value(request, BurdockHeader.REPEATABLE).orElse("false");
		return switch (value) {
			case "true" -> true;
			case "false" -> false;
			default -> throw invalidHeader(BurdockHeader.REPEATABLE, "must be true or false");
		};
	}

	static long timeoutMillis(HttpRequest request, long defaultMillis) {
		try {
			return value(request, BurdockHeader.TIMEOUT_MILLIS).map(Long::parseLong).orElse(defaultMillis);
		}
		catch (NumberFormatException ex) {
			throw invalidHeader(BurdockHeader.TIMEOUT_MILLIS, "must be an integer");
		}
	}

	private static Optional<String> value(HttpRequest request, BurdockHeader header) {
		return request.getHeader(header.headerName()).map(HttpHeader::value);
	}

	private static HttpRefusedException invalidHeader(BurdockHeader header, String rule) {
		return new HttpRefusedException(ErrorCode.BAD_REQUEST, "the header %s %s".formatted(header.headerName(), rule),
				null);
	}

}
