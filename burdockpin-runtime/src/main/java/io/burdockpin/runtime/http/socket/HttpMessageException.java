package io.burdockpin.runtime.http.socket;

import java.io.IOException;

import io.burdockpin.runtime.socket.RejectionCause;

/** A received message is malformed or exceeds a limit. */
final class HttpMessageException extends IOException {

	private static final long serialVersionUID = 1;

	private final RejectionCause rejectionCause;

	HttpMessageException(RejectionCause rejectionCause, String message) {
		super(message);
		this.rejectionCause = rejectionCause;
	}

	HttpMessageException(RejectionCause rejectionCause, String message, Throwable cause) {
		super(message, cause);
		this.rejectionCause = rejectionCause;
	}

	RejectionCause rejectionCause() {
		return this.rejectionCause;
	}

}
