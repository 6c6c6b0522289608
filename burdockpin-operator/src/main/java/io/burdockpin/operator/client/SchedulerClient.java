package io.burdockpin.operator.client;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/**
 * Calls the operator's interface of one process of the batch scheduler. Used by the main
 * thread of this one-shot program.
 */
public final class SchedulerClient {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int SERVER_ERROR = 500;

	private final ObjectMapper mapper = new ObjectMapper();

	private final String address;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param address address of the process, {@code ip:port}
	 * @param timeout how long to wait for a response
	 * @throws OperatorException if the address is malformed
	 */
	public SchedulerClient(String address, Duration timeout) {
		if (!ADDRESS.matcher(address).matches()) {
			throw OperatorException.usage("scheduler \"%s\" is not of the form ip:port".formatted(address));
		}
		this.address = address;
		this.timeout = timeout;
	}

	/**
	 * Sends a document and waits for the response.
	 * @param path path of the interface
	 * @param document a JSON document
	 * @return the JSON document of the response
	 * @throws OperatorException if the process cannot be reached or refuses the call
	 */
	public JsonNode post(String path, JsonNode document) {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.address + path))
				.version(HttpClient.Version.HTTP_1_1)
				.timeout(this.timeout)
				.header("Content-Type", "application/json")
				.POST(HttpRequest.BodyPublishers.ofByteArray(this.mapper.writeValueAsBytes(document)))
				.build();
			HttpResponse<byte[]> response = HttpClient.newBuilder()
				.connectTimeout(this.timeout)
				.build()
				.send(request, HttpResponse.BodyHandlers.ofByteArray());
			JsonNode body = this.mapper.readTree(response.body());
			if (response.statusCode() != OK) {
				throw refused(response.statusCode(), body);
			}
			return body;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw unreachable(ex);
		}
		catch (IOException ex) {
			throw unreachable(ex);
		}
	}

	private OperatorException unreachable(Exception cause) {
		return new OperatorException(OperatorExit.UNREACHABLE, ErrorCode.CONNECTION_FAILED,
				"scheduler %s did not respond: %s".formatted(this.address, cause.getMessage()), cause);
	}

	private static OperatorException refused(int status, JsonNode body) {
		String message = "%s (%s)".formatted(body.path("message").asText("status " + status),
				body.path("error").asText("no reason"));
		if (status >= SERVER_ERROR) {
			return new OperatorException(OperatorExit.REFUSED, ErrorCode.NO_MAJORITY, message, null);
		}
		return (status == NOT_FOUND) ? new OperatorException(OperatorExit.REFUSED, ErrorCode.UNKNOWN_JOB, message, null)
				: OperatorException.usage(message);
	}

}
