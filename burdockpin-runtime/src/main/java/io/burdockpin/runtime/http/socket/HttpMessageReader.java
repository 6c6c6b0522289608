package io.burdockpin.runtime.http.socket;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Optional;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.pekko.util.ByteString;

/**
 * Assembles the messages of one connection from the received bytes. Not thread-safe.
 *
 * @param <H> type of the message head
 * @param <M> type of the complete message
 */
abstract class HttpMessageReader<H extends HttpMessage, M> {

	/** Most heads are shorter; longer ones fill the buffer more than once. */
	private static final int BUFFER_BYTES = 1_024;

	/** Far above the heads that clients and servers of a fleet send. */
	private static final int MAXIMUM_HEAD_BYTES = 16 * 1_024;

	private static final byte[] HEAD_END = { '\r', '\n', '\r', '\n' };

	private final int maximumBodyBytes;

	/**
	 * Received bytes that are not consumed: the body after {@link #head}, or the start of
	 * the next message.
	 */
	private ByteString received = ByteString.emptyByteString();

	/** The parsed head of a message whose body is incomplete. */
	private Optional<H> head = Optional.empty();

	HttpMessageReader(int maximumBodyBytes) {
		this.maximumBodyBytes = maximumBodyBytes;
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes
	 * @throws IOException if more bytes are buffered than a message may have
	 */
	void add(ByteString bytes) throws IOException {
		this.received = this.received.concat(bytes);
		requireLength(this.received.length() - MAXIMUM_HEAD_BYTES);
	}

	/**
	 * Consumes the next message from the received bytes.
	 * @return the message, or empty if it is incomplete
	 * @throws IOException if the message is malformed or too long
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
			readHead();
		}
		if (this.head.isEmpty()) {
			return Optional.empty();
		}
		Optional<byte[]> body = readBody(this.head.get(), atEnd);
		if (body.isEmpty()) {
			return Optional.empty();
		}
		M complete = message(this.head.get(), body.get(), atEnd);
		this.head = Optional.empty();
		return Optional.of(complete);
	}

	private void readHead() throws IOException {
		byte[] all = this.received.toArrayUnsafe();
		int headBytes = headLength(all);
		if (headBytes > MAXIMUM_HEAD_BYTES || (headBytes == 0 && all.length > MAXIMUM_HEAD_BYTES)) {
			throw new IOException("message head exceeds %d bytes".formatted(MAXIMUM_HEAD_BYTES));
		}
		if (headBytes > 0) {
			try {
				this.head = Optional.of(parseHead(new SessionInputBufferImpl(BUFFER_BYTES),
						new ByteArrayInputStream(all, 0, headBytes)));
			}
			catch (HttpException ex) {
				throw new IOException("malformed message head", ex);
			}
			this.received = this.received.drop(headBytes);
		}
	}

	private Optional<byte[]> readBody(H messageHead, boolean atEnd) throws IOException {
		Header length = messageHead.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
		if (length != null) {
			int bodyBytes = contentLength(length);
			requireLength(bodyBytes);
			return (this.received.length() < bodyBytes) ? Optional.empty() : Optional.of(consume(bodyBytes));
		}
		requireLength(this.received.length());
		if (messageHead.getFirstHeader(HttpHeaders.TRANSFER_ENCODING) != null) {
			return readChunkedBody();
		}
		if (!bodyMayEndWithConnection()) {
			return Optional.of(new byte[0]);
		}
		return atEnd ? Optional.of(consume(this.received.length())) : Optional.empty();
	}

	private byte[] consume(int bytes) {
		byte[] taken = this.received.take(bytes).toArray();
		this.received = this.received.drop(bytes);
		return taken;
	}

	// HttpCore accepts a chunked body that lacks the empty line at its end.
	private Optional<byte[]> readChunkedBody() {
		byte[] all = this.received.toArrayUnsafe();
		boolean mayBeComplete = all.length > HEAD_END.length
				&& Arrays.equals(all, all.length - HEAD_END.length, all.length, HEAD_END, 0, HEAD_END.length);
		if (!mayBeComplete) {
			return Optional.empty();
		}
		try (ChunkedInputStream chunks = new ChunkedInputStream(new SessionInputBufferImpl(BUFFER_BYTES),
				new ByteArrayInputStream(all))) {
			byte[] body = chunks.readAllBytes();
			this.received = ByteString.emptyByteString();
			return Optional.of(body);
		}
		catch (IOException ex) {
			// More chunks are to come; add() bounds the buffered bytes.
			return Optional.empty();
		}
	}

	private void requireLength(int bodyBytes) throws IOException {
		if (bodyBytes > this.maximumBodyBytes) {
			throw new IOException("message body exceeds %d bytes".formatted(this.maximumBodyBytes));
		}
	}

	private static int contentLength(Header length) throws IOException {
		try {
			int bodyBytes = Integer.parseInt(length.getValue().trim());
			if (bodyBytes >= 0) {
				return bodyBytes;
			}
		}
		catch (NumberFormatException ex) {
			throw new IOException("malformed Content-Length: " + length.getValue(), ex);
		}
		throw new IOException("negative Content-Length: " + length.getValue());
	}

	static boolean hasConnectionClose(HttpMessage messageHead) {
		Header connection = messageHead.getFirstHeader(HttpHeaders.CONNECTION);
		return connection != null && connection.getValue().equalsIgnoreCase("close");
	}

	private static int headLength(byte[] all) {
		for (int start = 0; start + HEAD_END.length <= all.length; start++) {
			if (Arrays.equals(all, start, start + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
				return start + HEAD_END.length;
			}
		}
		return 0;
	}

}
