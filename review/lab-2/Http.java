import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/** HTTP/1.1 with JSON bodies. */
final class Http {

	static final ObjectMapper JSON = new ObjectMapper();

	private Http() {
	}

	static ObjectNode object() {
		return JSON.createObjectNode();
	}

	static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = JSON.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(bytes);
		}
	}

	/** Sends one request on a connection of its own. */
	static Answer send(String method, String address, String path, byte[] body, int timeoutMillis,
			Map<String, String> headers) {
		HttpClient client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofMillis(timeoutMillis))
			.build();
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.method(method, body == null ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofByteArray(body));
		if (body != null) {
			request.header("Content-Type", "application/json");
		}
		headers.forEach(request::header);
		try {
			HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
			return new Answer(response.statusCode(), response.body(), "");
		}
		catch (IOException ex) {
			return new Answer(0, new byte[0], ex.toString());
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * An answer.
	 *
	 * @param status 0 if there was none
	 */
	record Answer(int status, byte[] body, String failure) {

		boolean isAccepted() {
			return this.status / 100 == 2;
		}

		JsonNode json() {
			try {
				return JSON.readTree(this.body);
			}
			catch (IOException ex) {
				return object();
			}
		}

		@Override
		public String toString() {
			return this.status == 0 ? "no answer (" + this.failure + ")"
					: this.status + (this.body.length < 200 ? " " + new String(this.body) : "");
		}

	}

}
