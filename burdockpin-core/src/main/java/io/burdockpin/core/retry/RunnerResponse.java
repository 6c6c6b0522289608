package io.burdockpin.core.retry;

import io.burdockpin.core.model.Payload;

/**
 * A complete answer of a runner.
 *
 * @param status its HTTP status
 * @param contentType its content type, or an empty string
 * @param body its body
 */
public record RunnerResponse(int status, String contentType, Payload body) {

	private static final int INTERNAL_ERROR = 500;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * Tells whether the runner says that it could not serve the request.
	 * @return whether the status is 502, 503 or 504
	 */
	public boolean isUnavailable() {
		return this.status >= BAD_GATEWAY && this.status <= GATEWAY_TIMEOUT;
	}

	/**
	 * Tells whether the runner reports an error of its own.
	 * @return whether the status is 500 or more
	 */
	public boolean isServerError() {
		return this.status >= INTERNAL_ERROR;
	}

}
