package io.burdockpin.entry.http;

import java.util.EnumMap;
import java.util.Map;

import io.burdockpin.core.exc.ErrorCode;

/** Maps error codes to HTTP statuses. Codes without an entry get 503. Immutable. */
final class ErrorStatus {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final Map<ErrorCode, Integer> STATUSES = new EnumMap<>(Map.ofEntries(
			Map.entry(ErrorCode.BAD_REQUEST, 400), Map.entry(ErrorCode.DECODE_FAILED, 400),
			Map.entry(ErrorCode.REQUEST_ID_REJECTED, 400), Map.entry(ErrorCode.KEY_MISSING, 401),
			Map.entry(ErrorCode.KEY_UNKNOWN, 403), Map.entry(ErrorCode.KEY_WITHDRAWN, 403),
			Map.entry(ErrorCode.KEY_OF_OTHER_TEAM, 403), Map.entry(ErrorCode.UNKNOWN_TEAM, 403),
			Map.entry(ErrorCode.UNKNOWN_QUEUE, 404), Map.entry(ErrorCode.UNKNOWN_POOL, 404),
			Map.entry(ErrorCode.UNKNOWN_HOST, 404), Map.entry(ErrorCode.UNKNOWN_JOB, 404),
			Map.entry(ErrorCode.UNKNOWN_CAMPAIGN, 404), Map.entry(ErrorCode.ALREADY_EXISTS, 409),
			Map.entry(ErrorCode.STILL_IN_USE, 409), Map.entry(ErrorCode.VERSION_CONFLICT, 409),
			Map.entry(ErrorCode.STATE_CONFLICT, 409), Map.entry(ErrorCode.BUDGET_EXCEEDED, 409),
			Map.entry(ErrorCode.ALREADY_CLAIMED, 409), Map.entry(ErrorCode.ALREADY_RAN, 409),
			Map.entry(ErrorCode.BODY_TOO_LARGE, 413), Map.entry(ErrorCode.TEAM_LIMIT_REACHED, 429),
			Map.entry(ErrorCode.QUEUE_FULL, 429), Map.entry(ErrorCode.INTERNAL, 500),
			Map.entry(ErrorCode.UPSTREAM_FAILED, 502), Map.entry(ErrorCode.CONNECTION_FAILED, 502),
			Map.entry(ErrorCode.DEADLINE_EXCEEDED, 504), Map.entry(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, 504)));

	private ErrorStatus() {
	}

	static int of(ErrorCode code) {
		return STATUSES.getOrDefault(code, SERVICE_UNAVAILABLE);
	}

}
