package io.burdockpin.runtime.http.socket;

import io.burdockpin.runtime.socket.RejectionCause;

/**
 * Decodes a chunked body while it is received. The framing is dropped at once. Not
 * thread-safe.
 */
final class ChunkedBody {

	private static final int MAXIMUM_SIZE_DIGITS = 8;

	private static final int HEXADECIMAL = 16;

	private final MessageLimits limits;

	private final ReceivedBytes body = new ReceivedBytes();

	private State state = State.SIZE;

	/** Size in the present line, then what is left of the chunk. */
	private long chunkBytes;

	private int sizeDigits;

	private long overheadBytes;

	/** Length of the present line of the trailer. */
	private int lineBytes;

	ChunkedBody(MessageLimits limits) {
		this.limits = limits;
	}

	long retainedBytes() {
		return this.body.retainedBytes();
	}

	/**
	 * Decodes received bytes up to the end of the body.
	 * @param received the bytes after the header section, from which the decoded ones are
	 * consumed
	 * @return whether the body is complete
	 * @throws HttpMessageException if the framing is malformed or exceeds a limit
	 */
	boolean decode(ReceivedBytes received) throws HttpMessageException {
		while (this.state != State.COMPLETE && !received.isEmpty()) {
			if (this.state == State.DATA) {
				int bytes = (int) Math.min(this.chunkBytes, received.length());
				received.moveTo(this.body, bytes);
				this.chunkBytes -= bytes;
				if (this.chunkBytes == 0) {
					this.state = State.DATA_END;
				}
			}
			else {
				byte next = received.first();
				received.drop(1);
				this.overheadBytes++;
				if (this.overheadBytes > this.limits.chunkOverheadBytes()) {
					throw new HttpMessageException(RejectionCause.CHUNK_OVERHEAD,
							"framing of chunks exceeds %d bytes".formatted(this.limits.chunkOverheadBytes()));
				}
				this.state = this.state.next(this, next);
			}
		}
		return this.state == State.COMPLETE;
	}

	byte[] take() {
		return this.body.take(this.body.length());
	}

	private void onSizeDigit(int digit) throws HttpMessageException {
		this.chunkBytes = this.chunkBytes * HEXADECIMAL + digit;
		this.sizeDigits++;
		if (this.sizeDigits > MAXIMUM_SIZE_DIGITS || this.body.length() + this.chunkBytes > this.limits.bodyBytes()) {
			throw new HttpMessageException(RejectionCause.BODY_BYTES,
					"message body exceeds %d bytes".formatted(this.limits.bodyBytes()));
		}
	}

	private State onSizeLineEnd() throws HttpMessageException {
		if (this.sizeDigits == 0) {
			throw malformed();
		}
		this.sizeDigits = 0;
		this.lineBytes = 0;
		return (this.chunkBytes > 0) ? State.DATA : State.TRAILER;
	}

	private static HttpMessageException malformed() {
		return new HttpMessageException(RejectionCause.MALFORMED, "malformed chunk");
	}

	/** What the next byte belongs to. */
	private enum State {

		/** The size of a chunk. */
		SIZE {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				int digit = Character.digit(next, HEXADECIMAL);
				if (digit >= 0) {
					body.onSizeDigit(digit);
					return SIZE;
				}
				return switch (next) {
					case ';', ' ', '\t' -> EXTENSION;
					case '\r' -> SIZE_END;
					default -> throw malformed();
				};
			}

		},

		/** An extension, which is ignored. */
		EXTENSION {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				if (next == '\n') {
					throw malformed();
				}
				return (next == '\r') ? SIZE_END : EXTENSION;
			}

		},

		/** The last byte of the line with the size. */
		SIZE_END {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				requireLineFeed(next);
				return body.onSizeLineEnd();
			}

		},

		/** The bytes of a chunk, which are not handled one by one. */
		DATA {

			@Override
			State next(ChunkedBody body, byte next) {
				throw new IllegalStateException("data is moved as a whole");
			}

		},

		/** The line end after a chunk. */
		DATA_END {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				if (next != '\r') {
					throw malformed();
				}
				return DATA_END_LINE_FEED;
			}

		},

		/** The last byte of the line end after a chunk. */
		DATA_END_LINE_FEED {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				requireLineFeed(next);
				body.chunkBytes = 0;
				return SIZE;
			}

		},

		/** A line after the last chunk; its fields are ignored. */
		TRAILER {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				if (next == '\r') {
					return TRAILER_LINE_FEED;
				}
				if (next == '\n') {
					throw malformed();
				}
				body.lineBytes++;
				return TRAILER;
			}

		},

		/** The last byte of a line after the last chunk. */
		TRAILER_LINE_FEED {

			@Override
			State next(ChunkedBody body, byte next) throws HttpMessageException {
				requireLineFeed(next);
				boolean isEmptyLine = body.lineBytes == 0;
				body.lineBytes = 0;
				return isEmptyLine ? COMPLETE : TRAILER;
			}

		},

		/** The body is complete. */
		COMPLETE {

			@Override
			State next(ChunkedBody body, byte next) {
				throw new IllegalStateException("the body is complete");
			}

		};

		abstract State next(ChunkedBody body, byte next) throws HttpMessageException;

		private static void requireLineFeed(byte next) throws HttpMessageException {
			if (next != '\n') {
				throw malformed();
			}
		}

	}

}
