package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;

/** Progress of a claimed request. */
public enum ClaimState {

	/** The holder may be running the request. */
	CLAIMED(ErrorCode.ALREADY_CLAIMED),

	/** The request ran and its response was recorded. */
	FINISHED(ErrorCode.ALREADY_RAN);

	private final ErrorCode resendCode;

	ClaimState(ErrorCode resendCode) {
		this.resendCode = resendCode;
	}

	/**
	 * Returns the error code for a resend of the request when no stored response can be
	 * returned.
	 * @return the error code of the rejection
	 */
	public ErrorCode resendCode() {
		return this.resendCode;
	}

}
