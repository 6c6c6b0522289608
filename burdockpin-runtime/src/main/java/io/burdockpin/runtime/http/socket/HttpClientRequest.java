package io.burdockpin.runtime.http.socket;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A request that the client sends. Immutable.
 *
 * @param method the HTTP method in capitals
 * @param path the path with its query
 * @param headers additional headers by name; the host and body headers are set by the
 * client
 * @param body a JSON document, empty if there is none
 */
public record HttpClientRequest(String method, String path, Map<String, String> headers, byte[] body) {

	public HttpClientRequest {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a {@code GET} request.
	 * @param path the path with its query
	 * @return the request
	 */
	public static HttpClientRequest get(String path) {
		return new HttpClientRequest("GET", path, Map.of(), new byte[0]);
	}

	/**
	 * Creates a {@code POST} request with a JSON document.
	 * @param path the path with its query
	 * @param body the JSON document in UTF-8
	 * @return the request
	 */
	public static HttpClientRequest post(String path, byte[] body) {
		return new HttpClientRequest("POST", path, Map.of(), body);
	}

	/**
	 * Returns a copy with an additional header.
	 * @return the request with the header
	 */
	public HttpClientRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpClientRequest(this.method, this.path, extended, this.body);
	}

}
