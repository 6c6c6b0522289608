package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Submits jobs and asks for them, with resends. Used by one thread. */
public final class JobCaller {

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final EntryHost entry;

	private final String key;

	/**
	 * Creates a caller.
	 * @param entry the entry host that it uses
	 * @param key its team key
	 */
	public JobCaller(EntryHost entry, String key) {
		this.entry = entry;
		this.key = key;
	}

	// access

	/**
	 * Submits a job that returns its request identifier.
	 * @param requestId identifier of the request, the same for resends
	 * @param pool the pool
	 * @param runMillis how long it runs
	 * @param repeatable whether it may be started more than once
	 * @return the job identifier
	 */
	public String submit(String requestId, String pool, long runMillis, boolean repeatable) {
		String payload = "{\"runMillis\":%d,\"result\":\"%s\"}".formatted(runMillis, requestId);
		Map<String, Object> document = Map.of("pool", pool, "cpuMillicores", 500, "memoryMebibytes", 64, "accelerators",
				0, "runMillis", runMillis, "urgent", false, "repeatable", repeatable, "payloadBase64",
				Base64.getEncoder().encodeToString(payload.getBytes(StandardCharsets.UTF_8)));
		return Await.value("submission of " + requestId,
				() -> call(request("").header("Burdock-Request-Id", requestId)
					.POST(BodyPublishers.ofString(MAPPER.valueToTree(document).toString()))).map(JobCaller::parse)
					.map((answer) -> answer.path("job").asText()));
	}

	/**
	 * Asks for the state of a job.
	 * @param job the job
	 * @return the state, or nothing without an answer
	 */
	public Optional<String> state(String job) {
		return call(request("/" + job)).map(JobCaller::parse).map((answer) -> answer.path("state").asText());
	}

	/**
	 * Asks for the result of a job.
	 * @param job the job
	 * @return the result, or nothing without an answer
	 */
	public Optional<String> result(String job) {
		return call(request("/" + job + "/result"));
	}

	// helpers

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create(this.entry.url() + "/v1/jobs" + path))
			.timeout(Duration.ofSeconds(10))
			.header("Content-Type", "application/json")
			.header("Burdock-Key", this.key);
	}

	private Optional<String> call(HttpRequest.Builder request) {
		try {
			HttpResponse<String> response = this.entry.web().client().send(request.build(), BodyHandlers.ofString());
			return (response.statusCode() == OK) ? Optional.of(response.body()) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
