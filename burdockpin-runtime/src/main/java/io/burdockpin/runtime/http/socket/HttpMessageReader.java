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
 * Puts the messages of one connection together from the bytes that have arrived. Mutable;
 * belongs to a connection.
 *
 * @param <H> type of the head
 * @param <M> type of the message
 */
abstract class HttpMessageReader<H extends HttpMessage, M> {

	/** Most heads are shorter; longer ones take several fills. */
	private static final int BUFFER_BYTES = 1_024;

	/** Far above the heads that clients and servers of a fleet send. */
	private static final int MAXIMUM_HEAD_BYTES = 16 * 1_024;

	private static final byte[] HEAD_END = { '\r', '\n', '\r', '\n' };

	private final int maximumBodyBytes;

	/** What has arrived after the head that is known, or before the next head. */
	private ByteString received = ByteString.emptyByteString();

	/** The head of the message whose body is incomplete. */
	private Optional<H> head = Optional.empty();

	HttpMessageReader(int maximumBodyBytes) {
		this.maximumBodyBytes = maximumBodyBytes;
	}

	/**
	 * Takes bytes that have arrived.
	 * @param bytes the bytes
	 * @throws IOException if they are more than a message may have
	 */
	void add(ByteString bytes) throws IOException {
		this.received = this.received.concat(bytes);
		requireLength(this.received.length() - MAXIMUM_HEAD_BYTES);
	}

	/**
	 * Takes the next message from the bytes that have arrived.
	 * @return the message, if it is complete
	 * @throws IOException if the bytes are no message, or a too long one
	 */
	Optional<M> next() throws IOException {
		return next(false);
	}

	/**
	 * Takes note that no more bytes will arrive.
	 * @return the message that ends with the connection, if there is one
	 * @throws IOException if the bytes are no message
	 */
	Optional<M> endOfInput() throws IOException {
		return next(true);
	}

	/**
	 * Tells whether a part of a message has arrived.
	 * @return whether the next message has begun
	 */
	boolean hasPartialMessage() {
		return this.head.isPresent() || !this.received.isEmpty();
	}

	/**
	 * Returns the head of the message that is incomplete.
	 * @return the head, once it is complete
	 */
	Optional<H> incompleteMessageHead() {
		return this.head;
	}

	abstract H parseHead(SessionInputBuffer buffer, InputStream bytes) throws IOException, HttpException;

	abstract M message(H messageHead, byte[] body, boolean ended) throws IOException;

	/**
	 * Tells whether a message without a length lasts until the end of the connection.
	 * @return {@code false} if such a message has no body
	 */
	abstract boolean bodyMayEndWithConnection();

	private Optional<M> next(boolean ended) throws IOException {
		if (this.head.isEmpty()) {
			takeHead();
		}
		if (this.head.isEmpty()) {
			return Optional.empty();
		}
		Optional<byte[]> body = takeBody(this.head.get(), ended);
		if (body.isEmpty()) {
			return Optional.empty();
		}
		M complete = message(this.head.get(), body.get(), ended);
		this.head = Optional.empty();
		return Optional.of(complete);
	}

	private void takeHead() throws IOException {
		byte[] all = this.received.toArrayUnsafe();
		int headBytes = headLength(all);
		if (headBytes > MAXIMUM_HEAD_BYTES || (headBytes == 0 && all.length > MAXIMUM_HEAD_BYTES)) {
			throw new IOException("the head of a message is longer than %d bytes".formatted(MAXIMUM_HEAD_BYTES));
		}
		if (headBytes > 0) {
			try {
				this.head = Optional.of(parseHead(new SessionInputBufferImpl(BUFFER_BYTES),
						new ByteArrayInputStream(all, 0, headBytes)));
			}
			catch (HttpException ex) {
				throw new IOException("the head of a message is malformed", ex);
			}
			this.received = this.received.drop(headBytes);
		}
	}

	private Optional<byte[]> takeBody(H messageHead, boolean ended) throws IOException {
		Header length = messageHead.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
		if (length != null) {
			int bodyBytes = contentLength(length);
			requireLength(bodyBytes);
			return (this.received.length() < bodyBytes) ? Optional.empty() : Optional.of(take(bodyBytes));
		}
		requireLength(this.received.length());
		if (messageHead.getFirstHeader(HttpHeaders.TRANSFER_ENCODING) != null) {
			return takeChunks();
		}
		if (!bodyMayEndWithConnection()) {
			return Optional.of(new byte[0]);
		}
		return ended ? Optional.of(take(this.received.length())) : Optional.empty();
	}

	private byte[] take(int bytes) {
		byte[] taken = this.received.take(bytes).toArray();
		this.received = this.received.drop(bytes);
		return taken;
	}

	// The library takes a body for complete that lacks the empty line at its end.
	private Optional<byte[]> takeChunks() {
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
			// More chunks are to come; their number of bytes is bounded.
			return Optional.empty();
		}
	}

	private void requireLength(int bodyBytes) throws IOException {
		if (bodyBytes > this.maximumBodyBytes) {
			throw new IOException("the body of a message is longer than %d bytes".formatted(this.maximumBodyBytes));
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
			throw new IOException("the length of a message is malformed: " + length.getValue(), ex);
		}
		throw new IOException("the length of a message is negative: " + length.getValue());
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
