package io.burdockpin.runtime.http.socket;

import java.util.Optional;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;

/** A complete request that a client has sent. Immutable. */
public final class HttpServerRequest {

	private final ClassicHttpRequest head;

	private final String path;

	private final byte[] body;

	private final boolean closesConnection;

	HttpServerRequest(ClassicHttpRequest head, String path, byte[] body, boolean closesConnection) {
		this.head = head;
		this.path = path;
		this.body = body;
		this.closesConnection = closesConnection;
	}

	/**
	 * Returns the method.
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
	 * Returns the host that the client has asked for.
	 * @return the name without the port, empty if there is none
	 */
	public String host() {
		String host = header(HttpHeaders.HOST).orElse("");
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	/**
	 * Returns a header.
	 * @param name its name in any case
	 * @return the value of the first one
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
	 * Tells whether the client wants no further request answered on its connection.
	 * @return whether the connection ends with the response
	 */
	boolean closesConnection() {
		return this.closesConnection;
	}

}
