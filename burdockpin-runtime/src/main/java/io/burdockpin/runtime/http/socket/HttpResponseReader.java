package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/** Reads the responses on a client connection. */
final class HttpResponseReader extends HttpMessageReader<ClassicHttpResponse, HttpClientResponse> {

	private static final MessageLimits LIMITS = MessageLimits.DEFAULT.withBodyBytes(4 * 1024 * 1024);

	private final DefaultHttpResponseParser parser = new DefaultHttpResponseParser(parserConfiguration(LIMITS));

	HttpResponseReader() {
		super(LIMITS);
	}

	@Override
	ClassicHttpResponse parseHead(SessionInputBuffer buffer, InputStream bytes) throws IOException, HttpException {
		return this.parser.parse(buffer, bytes);
	}

	@Override
	HttpClientResponse message(ClassicHttpResponse head, byte[] body, boolean atEnd) {
		return new HttpClientResponse(head.getCode(), body, atEnd || hasConnectionClose(head));
	}

	@Override
	boolean bodyMayEndWithConnection() {
		return true;
	}

}
