package io.burdockpin.runtime.http.socket;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;

/** A complete request that the server has received. Immutable. */
public final class HttpServerRequest {

	private final ClassicHttpRequest head;

	private final String path;

	private final byte[] body;

	private final boolean closesConnection;

	private final long receivedNanos;

	HttpServerRequest(ClassicHttpRequest head, String path, byte[] body, boolean closesConnection, long receivedNanos) {
		this.head = head;
		this.path = path;
		this.body = body;
		this.closesConnection = closesConnection;
		this.receivedNanos = receivedNanos;
	}

	/**
	 * Returns the HTTP method.
	 * @return the name in capitals
	 */
	public String method() {
		return this.head.getMethod();
	}

	/**
	 * Returns the path.
	 * @return the path without the query, decoded
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns the host from the {@code Host} header.
	 * @return the name without the port, or an empty string
	 */
	public String host() {
		String host = header(HttpHeaders.HOST).orElse("");
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	/**
	 * Returns the first value of a header.
	 * @param name the header name, in any case
	 * @return the value, if the header is present
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.head.getFirstHeader(name)).map(Header::getValue);
	}

	/**
	 * Returns the body.
	 * @return the bytes, which must not be changed
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns how long ago this process received the first byte of the request.
	 * @return the time in milliseconds
	 */
	public long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.receivedNanos);
	}

	/**
	 * Returns whether the client asked to close the connection after the response.
	 * @return {@code true} if no further request is read
	 */
	boolean closesConnection() {
		return this.closesConnection;
	}

}
