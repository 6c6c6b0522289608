package io.burdockpin.operator.client;

import java.io.IOException;

/** Sends the body of one call to one entry host. */
public interface EntryCaller {

	/**
	 * Sends a call and waits for the answer.
	 * @param entry address of the entry host, {@code ip:port}, with {@code https://} in
	 * front for TLS
	 * @param body the encoded call
	 * @return the encoded reply
	 * @throws NotSentException if the call was certainly not sent
	 * @throws IOException if the call may have been received
	 */
	byte[] call(String entry, byte[] body) throws IOException;

	/** The call was certainly not sent. */
	class NotSentException extends IOException {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates an exception.
		 * @param message what failed
		 * @param cause the error below
		 */
		public NotSentException(String message, Throwable cause) {
			super(message, cause);
		}

	}

}
