package io.burdockpin.operator.client;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/**
 * Sends requests to the operator's interface of the batch scheduler and waits. Used by
 * the main thread of this one-shot program.
 */
public final class SchedulerClient {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int NO_LEADER = 503;

	/** From this status on the request may have taken effect. */
	private static final int SERVER_ERROR = 500;

	private final String address;

	private final HttpClient client;

	private final Duration timeout;

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Creates a client.
	 * @param address address of a process, {@code ip:port}
	 * @param client the HTTP client
	 * @param timeout how long to wait for an answer
	 */
	public SchedulerClient(String address, HttpClient client, Duration timeout) {
		this.address = address;
		this.client = client;
		this.timeout = timeout;
	}

	/**
	 * Creates a client from the command line.
	 * @param address address of a process, {@code ip:port}
	 * @param timeoutSeconds how long to wait for a connection and for an answer
	 * @return the client
	 * @throws OperatorException if the address is malformed
	 */
	public static SchedulerClient of(String address, int timeoutSeconds) {
		if (!ADDRESS.matcher(address).matches()) {
			throw OperatorException.usage("scheduler \"%s\" is not of the form ip:port".formatted(address));
		}
		Duration timeout = Duration.ofSeconds(timeoutSeconds);
		return new SchedulerClient(address, HttpClient.newBuilder().connectTimeout(timeout).build(), timeout);
	}

	/**
	 * Encodes a name as a segment of a path.
	 * @param name any text
	 * @return the segment
	 */
	public static String encode(String name) {
		return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
	}

	/**
	 * Sends an order without a body.
	 * @param method the HTTP method
	 * @param path the absolute path, encoded
	 * @return the body of the response
	 * @throws OperatorException if the order was refused or its outcome is not known
	 */
	public JsonNode send(String method, String path) {
		HttpResponse<byte[]> response = exchange(
				request(path).method(method, HttpRequest.BodyPublishers.noBody()).build(),
				(ex) -> unknown("no answer from %s: %s; send the order again".formatted(this.address, ex), ex));
		if (response.statusCode() != OK) {
			throw refusal(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8));
		}
		return read(response);
	}

	/**
	 * Sends a question with a document, which changes nothing.
	 * @param path the absolute path, encoded
	 * @param document a JSON document
	 * @return the body of the response
	 * @throws OperatorException if the process cannot be reached or refuses the question
	 */
	public JsonNode ask(String path, JsonNode document) {
		HttpResponse<byte[]> response = exchange(request(path).header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(document.toString()))
			.build(), this::unreachable);
		JsonNode body = read(response);
		if (response.statusCode() != OK) {
			throw refusedQuestion(response.statusCode(), body);
		}
		return body;
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(this.timeout);
	}

	private HttpResponse<byte[]> exchange(HttpRequest request, Function<IOException, OperatorException> withoutAnswer) {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			throw new OperatorException(OperatorExit.UNREACHABLE, ErrorCode.CONNECTION_FAILED,
					"cannot connect to %s".formatted(this.address), ex);
		}
		catch (IOException ex) {
			throw withoutAnswer.apply(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw unknown("interrupted", ex);
		}
	}

	private JsonNode read(HttpResponse<byte[]> response) {
		try {
			return this.mapper.readTree(response.body());
		}
		catch (IOException ex) {
			throw unknown("the answer from %s is not JSON".formatted(this.address), ex);
		}
	}

	// A question that was not answered has changed nothing.
	private OperatorException unreachable(IOException cause) {
		return new OperatorException(OperatorExit.UNREACHABLE, ErrorCode.CONNECTION_FAILED,
				"scheduler %s did not respond: %s".formatted(this.address, cause.getMessage()), cause);
	}

	private static OperatorException refusedQuestion(int status, JsonNode body) {
		String message = "%s (%s)".formatted(body.path("message").asText("status " + status),
				body.path("error").asText("no reason"));
		if (status >= SERVER_ERROR) {
			return new OperatorException(OperatorExit.REFUSED, ErrorCode.NO_MAJORITY, message, null);
		}
		return (status == NOT_FOUND) ? new OperatorException(OperatorExit.REFUSED, ErrorCode.UNKNOWN_JOB, message, null)
				: OperatorException.usage(message);
	}

	private static OperatorException refusal(int status, String body) {
		String message = "status %d: %s".formatted(status, body);
		return (status < SERVER_ERROR || status == NO_LEADER)
				? new OperatorException(OperatorExit.REFUSED, ErrorCode.BAD_REQUEST, message, null)
				: unknown(message + "; send the order again", null);
	}

	private static OperatorException unknown(String message, Exception cause) {
		return new OperatorException(OperatorExit.OUTCOME_UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, message, cause);
	}

}
