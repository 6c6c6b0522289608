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
public record HttpClientRequest(String method, String path, Map<String, String> headers, byte[] body) {

	public HttpClientRequest {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a request without a body.
	 * @param path the path with its query
	 * @return the request
	 */
	public static HttpClientRequest get(String path) {
		return new HttpClientRequest("GET", path, Map.of(), new byte[0]);
	}

	/**
	 * Creates a request with a JSON document.
	 * @param path the path with its query
	 * @param body the document
	 * @return the request
	 */
	public static HttpClientRequest post(String path, byte[] body) {
		return new HttpClientRequest("POST", path, Map.of(), body);
	}

	/**
	 * Adds a header.
	 * @param name its name
	 * @param value its value
	 * @return the request with the header
	 */
	public HttpClientRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpClientRequest(this.method, this.path, extended, this.body);
	}

}
