package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.URISyntaxException;

import io.burdockpin.runtime.socket.RejectionCause;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.pekko.util.ByteString;

/** Reads the requests on an accepted connection. */
final class HttpRequestReader extends HttpMessageReader<ClassicHttpRequest, HttpServerRequest> {

	private final DefaultHttpRequestParser parser;

	/** When the first byte of the next message was received. */
	private long messageReceivedNanos;

	private long lastReceivedNanos;

	HttpRequestReader(MessageLimits limits) {
		super(limits);
		this.parser = new DefaultHttpRequestParser(parserConfiguration(limits));
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes
	 * @param receivedNanos when they were received, by {@link System#nanoTime}
	 * @throws HttpMessageException if more bytes are buffered than messages may have
	 */
	void add(ByteString bytes, long receivedNanos) throws HttpMessageException {
		if (!hasPartialMessage()) {
			this.messageReceivedNanos = receivedNanos;
		}
		this.lastReceivedNanos = receivedNanos;
		add(bytes);
	}

	@Override
	ClassicHttpRequest parseHead(SessionInputBuffer buffer, InputStream bytes) throws IOException, HttpException {
		return this.parser.parse(buffer, bytes);
	}

	@Override
	HttpServerRequest message(ClassicHttpRequest head, byte[] body, boolean atEnd) throws IOException {
		try {
			String path = new URI(head.getRequestUri()).getPath();
			boolean closesConnection = hasConnectionClose(head)
					|| !head.getVersion().greaterEquals(HttpVersion.HTTP_1_1);
			long receivedNanos = this.messageReceivedNanos;
			// Bytes that are left belong to the next message.
			this.messageReceivedNanos = this.lastReceivedNanos;
			return new HttpServerRequest(head, (path != null) ? path : "", body, closesConnection, receivedNanos);
		}
		catch (URISyntaxException ex) {
			throw new HttpMessageException(RejectionCause.MALFORMED, "malformed request path: " + ex.getMessage(), ex);
		}
	}

	@Override
	boolean bodyMayEndWithConnection() {
		return false;
	}

}
