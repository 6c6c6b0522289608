package io.burdockpin.runtime.http.socket;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

import io.burdockpin.runtime.socket.RejectionCause;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.pekko.util.ByteString;

/**
 * Assembles the messages of one connection from the received bytes. Each byte is searched
 * and copied a bounded number of times, however the bytes are split into parts. Not
 * thread-safe.
 *
 * @param <H> type of the message head
 * @param <M> type of the complete message
 */
abstract class HttpMessageReader<H extends HttpMessage, M> {

	/** Most heads are shorter; longer ones fill the buffer more than once. */
	private static final int BUFFER_BYTES = 1_024;

	/** Bytes of later messages that may be buffered. */
	private static final int MAXIMUM_BYTES_AHEAD = 256 * 1_024;

	private final MessageLimits limits;

	/**
	 * Received bytes that are not consumed: the body after {@link #head}, or the start of
	 * the next message.
	 */
	private final ReceivedBytes received = new ReceivedBytes();

	/** Length of the empty lines before the next message. */
	private int emptyLineBytes;

	/** The parsed head of a message whose body is incomplete. */
	private Optional<H> head = Optional.empty();

	/** How the body after {@link #head} is delimited. */
	private BodyKind bodyKind = BodyKind.NONE;

	/** Length of a body whose head announces it. */
	private int bodyBytes;

	/** Present while a chunked body is received. */
	private Optional<ChunkedBody> chunkedBody = Optional.empty();

	HttpMessageReader(MessageLimits limits) {
		this.limits = limits;
	}

	// HttpCore rejects the number itself.
	static Http1Config parserConfiguration(MessageLimits limits) {
		return Http1Config.custom().setMaxHeaderCount(limits.headFields() + 1).build();
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes
	 * @throws HttpMessageException if more bytes are buffered than messages may have
	 */
	void add(ByteString bytes) throws HttpMessageException {
		this.received.add(bytes);
		if (this.received.length() - MAXIMUM_BYTES_AHEAD > this.limits.headBytes() + this.limits.bodyBytes()) {
			throw new HttpMessageException(RejectionCause.BODY_BYTES,
					"%d bytes were received before a response".formatted(this.received.length()));
		}
	}

	/**
	 * Consumes the next message from the received bytes.
	 * @return the message, or empty if it is incomplete
	 * @throws IOException if the message is malformed or too long, usually a
	 * {@link HttpMessageException}
	 */
	Optional<M> next() throws IOException {
		return next(false);
	}

	/**
	 * Handles the end of the connection.
	 * @return the message that is delimited by the end of the connection, if there is one
	 * @throws IOException if the message is malformed
	 */
	Optional<M> endOfInput() throws IOException {
		return next(true);
	}

	/**
	 * Returns whether a part of the next message has been received.
	 * @return {@code true} if the head or some bytes are buffered
	 */
	boolean hasPartialMessage() {
		return this.head.isPresent() || !this.received.isEmpty();
	}

	/**
	 * Returns the head of a message whose body is incomplete.
	 * @return the head, or empty if the head itself is incomplete
	 */
	Optional<H> incompleteMessageHead() {
		return this.head;
	}

	/**
	 * Returns the memory of the bytes of incomplete and later messages.
	 * @return the number of bytes
	 */
	long retainedBytes() {
		return this.received.retainedBytes() + this.chunkedBody.map(ChunkedBody::retainedBytes).orElse(0L);
	}

	/** Drops all received bytes; no further message is read. */
	void discard() {
		this.received.drop(this.received.length());
		this.chunkedBody = Optional.empty();
		this.head = Optional.empty();
	}

	abstract H parseHead(SessionInputBuffer buffer, InputStream bytes) throws IOException, HttpException;

	abstract M message(H messageHead, byte[] body, boolean atEnd) throws IOException;

	/**
	 * Returns whether a message without a length is delimited by the end of the
	 * connection.
	 * @return {@code false} if such a message has no body
	 */
	abstract boolean bodyMayEndWithConnection();

	private Optional<M> next(boolean atEnd) throws IOException {
		if (this.head.isEmpty()) {
			dropEmptyLines();
			readHead();
		}
		if (this.head.isEmpty()) {
			return Optional.empty();
		}
		Optional<byte[]> body = this.bodyKind.read(this, atEnd);
		if (body.isEmpty()) {
			return Optional.empty();
		}
		M complete = message(this.head.get(), body.get(), atEnd);
		this.head = Optional.empty();
		this.chunkedBody = Optional.empty();
		this.emptyLineBytes = 0;
		return Optional.of(complete);
	}

	private void dropEmptyLines() throws HttpMessageException {
		while (!this.received.isEmpty() && (this.received.first() == '\r' || this.received.first() == '\n')) {
			this.received.drop(1);
			this.emptyLineBytes++;
			if (this.emptyLineBytes > this.limits.emptyLineBytes()) {
				throw new HttpMessageException(RejectionCause.EMPTY_LINES,
						"empty lines before a message exceed %d bytes".formatted(this.limits.emptyLineBytes()));
			}
		}
	}

	private void readHead() throws IOException {
		int headBytes = this.received.headLength();
		if (headBytes > this.limits.headBytes()
				|| (headBytes == 0 && this.received.length() > this.limits.headBytes())) {
			throw tooLongHead("%d bytes".formatted(this.limits.headBytes()));
		}
		if (headBytes > 0) {
			H parsed = parse(this.received.take(headBytes));
			this.bodyKind = bodyKind(parsed);
			this.head = Optional.of(parsed);
		}
	}

	private H parse(byte[] bytes) throws IOException {
		try {
			return parseHead(new SessionInputBufferImpl(BUFFER_BYTES), new ByteArrayInputStream(bytes));
		}
		catch (MessageConstraintException | RequestHeaderFieldsTooLargeException ex) {
			throw tooLongHead("%d fields".formatted(this.limits.headFields()));
		}
		catch (HttpException ex) {
			throw malformed("malformed message head", ex);
		}
	}

	private BodyKind bodyKind(H messageHead) throws HttpMessageException {
		Header length = messageHead.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
		boolean isChunked = messageHead.getFirstHeader(HttpHeaders.TRANSFER_ENCODING) != null;
		if (length != null && isChunked) {
			throw malformed("a message has a length and a transfer encoding", null);
		}
		if (length != null) {
			this.bodyBytes = contentLength(length);
			requireLength(this.bodyBytes);
			return BodyKind.OF_KNOWN_LENGTH;
		}
		if (isChunked) {
			this.chunkedBody = Optional.of(new ChunkedBody(this.limits));
			return BodyKind.CHUNKED;
		}
		return bodyMayEndWithConnection() ? BodyKind.UNTIL_END : BodyKind.NONE;
	}

	private void requireLength(int bytes) throws HttpMessageException {
		if (bytes > this.limits.bodyBytes()) {
			throw new HttpMessageException(RejectionCause.BODY_BYTES,
					"message body exceeds %d bytes".formatted(this.limits.bodyBytes()));
		}
	}

	private HttpMessageException tooLongHead(String limit) {
		return new HttpMessageException(RejectionCause.HEAD_BYTES, "message head exceeds " + limit);
	}

	private static int contentLength(Header length) throws HttpMessageException {
		try {
			long bytes = Long.parseLong(length.getValue().trim());
			if (bytes >= 0) {
				return (int) Math.min(bytes, Integer.MAX_VALUE);
			}
		}
		catch (NumberFormatException ex) {
			throw malformed("malformed Content-Length: " + length.getValue(), ex);
		}
		throw malformed("negative Content-Length: " + length.getValue(), null);
	}

	private static HttpMessageException malformed(String message, Throwable cause) {
		return new HttpMessageException(RejectionCause.MALFORMED, message, cause);
	}

	static boolean hasConnectionClose(HttpMessage messageHead) {
		Header connection = messageHead.getFirstHeader(HttpHeaders.CONNECTION);
		return connection != null && connection.getValue().equalsIgnoreCase("close");
	}

	/** How the body of a message is delimited. */
	private enum BodyKind {

		/** There is no body. */
		NONE {

			@Override
			Optional<byte[]> read(HttpMessageReader<?, ?> reader, boolean atEnd) {
				return Optional.of(new byte[0]);
			}

		},

		/** The head announces the length. */
		OF_KNOWN_LENGTH {

			@Override
			Optional<byte[]> read(HttpMessageReader<?, ?> reader, boolean atEnd) {
				return (reader.received.length() < reader.bodyBytes) ? Optional.empty()
						: Optional.of(reader.received.take(reader.bodyBytes));
			}

		},

		/** The body consists of chunks. */
		CHUNKED {

			@Override
			Optional<byte[]> read(HttpMessageReader<?, ?> reader, boolean atEnd) throws HttpMessageException {
				ChunkedBody body = reader.chunkedBody.orElseThrow();
				return body.decode(reader.received) ? Optional.of(body.take()) : Optional.empty();
			}

		},

		/** The body ends with the connection. */
		UNTIL_END {

			@Override
			Optional<byte[]> read(HttpMessageReader<?, ?> reader, boolean atEnd) throws HttpMessageException {
				reader.requireLength(reader.received.length());
				return atEnd ? Optional.of(reader.received.take(reader.received.length())) : Optional.empty();
			}

		};

		abstract Optional<byte[]> read(HttpMessageReader<?, ?> reader, boolean atEnd) throws HttpMessageException;

	}

}
