package io.burdockpin.runtime.http.socket;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request to an HTTP server. Immutable.
 *
 * @param method the method
 * @param path the path with its query
 * @param headers headers besides those of the body and the connection, by name
 * @param body a JSON document, empty if there is none
 */
public record HttpCall(String method, String path, Map<String, String> headers, byte[] body) {

	public HttpCall {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a request without a body.
	 * @param path the path with its query
	 * @return the request
	 */
	public static HttpCall get(String path) {
		return new HttpCall("GET", path, Map.of(), new byte[0]);
	}

	/**
	 * Creates a request with a JSON document.
	 * @param path the path with its query
	 * @param body the document
	 * @return the request
	 */
	public static HttpCall post(String path, byte[] body) {
		return new HttpCall("POST", path, Map.of(), body);
	}

	/**
	 * Adds a header.
	 * @param name its name
	 * @param value its value
	 * @return the request with the header
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpCall(this.method, this.path, extended, this.body);
	}

}
