package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;

/** How far a claimed request got. */
public enum ClaimState {

	/** The holder may be running it. */
	CLAIMED(ErrorCode.ALREADY_CLAIMED),

	/** It ran and its answer was recorded. */
	FINISHED(ErrorCode.ALREADY_RAN);

	private final ErrorCode resendCode;

	ClaimState(ErrorCode resendCode) {
		this.resendCode = resendCode;
	}

	/**
	 * Returns the code for a resend that cannot be answered with a kept answer.
	 * @return the error code
	 */
	public ErrorCode resendCode() {
		return this.resendCode;
	}

}
