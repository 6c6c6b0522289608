package io.burdockpin.runtime.http.socket;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.burdockpin.runtime.socket.RejectionCause;

/**
 * Random requests on one connection, with what a reader has to return for them: some
 * legal ones, then possibly an illegal one. Immutable.
 *
 * @param bytes what the client sends
 * @param bodies the bodies of the legal requests, in order
 * @param rejection the cause for which what follows is rejected; empty if nothing follows
 */
record RequestStream(byte[] bytes, List<String> bodies, Optional<RejectionCause> rejection) {

	/** Small limits, so that a few bytes exceed them. */
	static final MessageLimits LIMITS = new MessageLimits(300, 5, 4_000, 6_000, 8);

	static RequestStream random(RandomGenerator random) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		List<String> bodies = new ArrayList<>();
		int requests = random.nextInt(4);
		for (int request = 0; request < requests; request++) {
			bodies.add(writeLegal(bytes, random));
		}
		Optional<RejectionCause> rejection = Optional.empty();
		if (random.nextBoolean()) {
			IllegalRequest illegal = IllegalRequest.values()[random.nextInt(IllegalRequest.values().length)];
			write(bytes, illegal.text());
			rejection = Optional.of(illegal.cause());
		}
		return new RequestStream(bytes.toByteArray(), List.copyOf(bodies), rejection);
	}

	private static String writeLegal(ByteArrayOutputStream bytes, RandomGenerator random) {
		write(bytes, "\r\n".repeat(random.nextInt(3)));
		String fields = "X-A: " + "a".repeat(random.nextInt(100)) + "\r\n";
		int bodyBytes = random.nextBoolean() ? random.nextInt(20) : random.nextInt(LIMITS.bodyBytes());
		String body = Integer.toString(random.nextInt(10)).repeat(bodyBytes);
		switch (random.nextInt(3)) {
			case 0 -> {
				write(bytes, "GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
				return "";
			}
			case 1 ->
				write(bytes, "POST /a HTTP/1.1\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
			default -> {
				write(bytes, "POST /a HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n");
				writeChunks(bytes, body, random);
			}
		}
		return body;
	}

	private static void writeChunks(ByteArrayOutputStream bytes, String body, RandomGenerator random) {
		int largest = 1 + random.nextInt(500);
		int position = 0;
		// Chunks of one byte are few, since their framing has a limit too.
		while (position < body.length()) {
			int chunk = Math.min(body.length() - position, 8 + random.nextInt(largest));
			String extension = (random.nextInt(4) == 0) ? ";a=b" : "";
			write(bytes, Integer.toHexString(chunk) + extension + "\r\n");
			write(bytes, body.substring(position, position + chunk) + "\r\n");
			position += chunk;
		}
		write(bytes, "0\r\n" + (random.nextBoolean() ? "X-Trailer: t\r\n" : "") + "\r\n");
	}

	private static void write(ByteArrayOutputStream bytes, String text) {
		bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/** A request that is rejected, with the cause. */
	enum IllegalRequest {

		LONG_HEADER_SECTION(RejectionCause.HEAD_BYTES, "GET / HTTP/1.1\r\nX: " + "x".repeat(400) + "\r\n\r\n"),

		ENDLESS_HEADER_SECTION(RejectionCause.HEAD_BYTES, "GET / HTTP/1.1\r\n" + "X: y\r\n".repeat(2_000)),

		MANY_FIELDS(RejectionCause.HEAD_BYTES, "GET / HTTP/1.1\r\n" + "X: y\r\n".repeat(6) + "\r\n"),

		ENDLESS_EMPTY_LINES(RejectionCause.EMPTY_LINES, "\r\n".repeat(5_000)),

		LONG_BODY(RejectionCause.BODY_BYTES, "POST / HTTP/1.1\r\nContent-Length: 4001\r\n\r\n" + "x".repeat(4_001)),

		LONG_CHUNK(RejectionCause.BODY_BYTES,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFA1\r\n" + "x".repeat(4_001)),

		LONG_CHUNKED_BODY(RejectionCause.BODY_BYTES,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
						+ ("64\r\n" + "x".repeat(100) + "\r\n").repeat(50)),

		TINY_CHUNKS(RejectionCause.CHUNK_OVERHEAD,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(3_000)),

		ENDLESS_CHUNK_EXTENSION(RejectionCause.CHUNK_OVERHEAD,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + "x".repeat(10_000)),

		ENDLESS_TRAILER(RejectionCause.CHUNK_OVERHEAD,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "X: y\r\n".repeat(3_000)),

		MALFORMED_CHUNK(RejectionCause.MALFORMED, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"),

		CHUNK_WITHOUT_LINE_END(RejectionCause.MALFORMED,
				"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n"),

		TWO_LENGTHS(RejectionCause.MALFORMED,
				"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),

		NEGATIVE_LENGTH(RejectionCause.MALFORMED, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),

		NO_REQUEST_LINE(RejectionCause.MALFORMED, "hello\r\n\r\n");

		private final RejectionCause cause;

		private final String text;

		IllegalRequest(RejectionCause cause, String text) {
			this.cause = cause;
			this.text = text;
		}

		RejectionCause cause() {
			return this.cause;
		}

		String text() {
			return this.text;
		}

	}

}
