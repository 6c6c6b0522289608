package io.burdockpin.runtime.http.socket;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;
import org.apache.pekko.util.ByteString;

/** Encodes HTTP/1.1 messages. Stateless. */
final class HttpMessageWriter {

	/** Interim response to a client that sent {@code Expect: 100-continue}. */
	static final ByteString CONTINUE = ByteString.fromString("HTTP/1.1 100 Continue\r\n\r\n");

	private static final String LINE_END = "\r\n";

	private static final int INITIAL_HEAD_CHARS = 256;

	private HttpMessageWriter() {
	}

	static ByteString write(HttpClientRequest call, InetSocketAddress server) {
		StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS).append(call.method())
			.append(' ')
			.append(call.path())
			.append(" HTTP/1.1")
			.append(LINE_END);
		addHeader(head, HttpHeaders.HOST, server.getHostString() + ":" + server.getPort());
		call.headers().forEach((name, value) -> addHeader(head, name, value));
		if (call.body().length > 0) {
			addBodyHeaders(head, call.body());
		}
		return complete(head, call.body());
	}

	static ByteString write(HttpServerResponse response, boolean closesConnection) {
		StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS).append("HTTP/1.1 ")
			.append(response.status())
			.append(' ')
			.append(EnglishReasonPhraseCatalog.INSTANCE.getReason(response.status(), Locale.ROOT))
			.append(LINE_END);
		response.headers().forEach((name, value) -> addHeader(head, name, value));
		addBodyHeaders(head, response.body());
		if (closesConnection) {
			addHeader(head, HttpHeaders.CONNECTION, "close");
		}
		return complete(head, response.body());
	}

	private static void addBodyHeaders(StringBuilder head, byte[] body) {
		addHeader(head, HttpHeaders.CONTENT_TYPE, "application/json");
		addHeader(head, HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
	}

	private static ByteString complete(StringBuilder head, byte[] body) {
		byte[] headBytes = head.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
		return ByteString.fromArrayUnsafe(headBytes).concat(ByteString.fromArrayUnsafe(body));
	}

	private static void addHeader(StringBuilder head, String name, String value) {
		head.append(name).append(": ").append(value).append(LINE_END);
	}

}
