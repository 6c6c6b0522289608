package io.burdockpin.runtime.http.socket;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The response to a {@link HttpServerRequest}. Immutable.
 *
 * @param status the status code
 * @param headers additional headers by name; the body and connection headers are set by
 * the server
 * @param body a JSON document
 */
public record HttpServerResponse(int status, Map<String, String> headers, byte[] body) {

	private static final int MILLIS_PER_SECOND = 1_000;

	public HttpServerResponse {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a response without additional headers.
	 * @param status the status code
	 * @param body a JSON document
	 * @return the response
	 */
	public static HttpServerResponse json(int status, byte[] body) {
		return new HttpServerResponse(status, Map.of(), body);
	}

	/**
	 * Returns a copy that tells the client when to repeat its request.
	 * @param millis delay in milliseconds, rounded up to whole seconds
	 * @return the response with a {@code Retry-After} header
	 */
	public HttpServerResponse withRetryAfterMillis(int millis) {
		return withHeader("Retry-After", Integer.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
	}

	/**
	 * Returns a copy with an additional header.
	 * @return the response with the header
	 */
	public HttpServerResponse withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpServerResponse(this.status, extended, this.body);
	}

}
