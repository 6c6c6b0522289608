package io.burdockpin.core.retry;

import io.burdockpin.core.model.Payload;

/**
 * A complete response of a runner.
 *
 * @param status HTTP status
 * @param contentType content type, or an empty string without one
 * @param body response body
 */
public record RunnerResponse(int status, String contentType, Payload body) {

	private static final int INTERNAL_ERROR = 500;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * Tells whether the runner was unable to serve the request.
	 * @return whether the status is 502, 503 or 504
	 */
	public boolean isUnavailable() {
		return this.status >= BAD_GATEWAY && this.status <= GATEWAY_TIMEOUT;
	}

	/**
	 * Tells whether the runner reports a server error.
	 * @return whether the status is 500 or higher
	 */
	public boolean isServerError() {
		return this.status >= INTERNAL_ERROR;
	}

}
