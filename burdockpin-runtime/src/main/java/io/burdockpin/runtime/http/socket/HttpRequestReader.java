package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.URISyntaxException;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/** Reads the requests on an accepted connection. */
final class HttpRequestReader extends HttpMessageReader<ClassicHttpRequest, HttpServerRequest> {

	private final DefaultHttpRequestParser parser = new DefaultHttpRequestParser();

	HttpRequestReader(int maximumBodyBytes) {
		super(maximumBodyBytes);
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
			return new HttpServerRequest(head, (path != null) ? path : "", body, closesConnection);
		}
		catch (URISyntaxException ex) {
			throw new IOException("malformed request path: " + ex.getMessage(), ex);
		}
	}

	@Override
	boolean bodyMayEndWithConnection() {
		return false;
	}

}
