package io.burdockpin.runtime.http.socket;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The response to a {@link ServedRequest}. Immutable.
 *
 * @param status the status
 * @param headers headers besides those of the body and the connection, by name
 * @param body a JSON document
 */
public record ServedResponse(int status, Map<String, String> headers, byte[] body) {

	public ServedResponse {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a response without further headers.
	 * @param status the status
	 * @param body a JSON document
	 * @return the response
	 */
	public static ServedResponse json(int status, byte[] body) {
		return new ServedResponse(status, Map.of(), body);
	}

	/**
	 * Adds a header.
	 * @param name its name
	 * @param value its value
	 * @return the response with the header
	 */
	public ServedResponse withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new ServedResponse(this.status, extended, this.body);
	}

}
