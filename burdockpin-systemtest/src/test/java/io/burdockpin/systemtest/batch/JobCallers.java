package io.burdockpin.systemtest.batch;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;

/** Submits short jobs to the entry hosts over open connections. Used by one thread. */
final class JobCallers {

	static final String PREFIX = "/soak/";

	static final String HOST = "jobs.example";

	private static final int MAXIMUM_ATTEMPTS = 8;

	private static final long ATTEMPT_MILLIS = 3_000;

	private static final Executor NEXT_ATTEMPT = CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS);

	/** A job whose task fails with a crashed runner must not run out of attempts. */
	private static final int TASK_ATTEMPTS = 100;

	private final HttpClient client;

	private final List<String> entryHosts;

	private final RandomGenerator random;

	private final Set<String> accepted = ConcurrentHashMap.newKeySet();

	JobCallers(HttpClient client, List<String> entryHosts, RandomGenerator random) {
		this.client = client;
		this.entryHosts = entryHosts;
		this.random = random;
	}

	/** Returns a configuration. Each version gives the only route another name. */
	static Map<String, Object> configuration(long version) {
		return Map.of("version", version, "routes",
				List.of(Map.ofEntries(Map.entry("name", "r-soak-" + version), Map.entry("host", HOST),
						Map.entry("pathPrefix", PREFIX), Map.entry("kind", "non_idempotent"),
						Map.entry("timeoutMs", ATTEMPT_MILLIS), Map.entry("targetLatencyMs", 600),
						Map.entry("priority", 0), Map.entry("service", StandInRunner.RunnerPlan.SERVICE),
						Map.entry("maxAttempts", TASK_ATTEMPTS), Map.entry("stretch", 1.6), Map.entry("public", true))),
				"services",
				List.of(Map.of("name", StandInRunner.RunnerPlan.SERVICE, "healthPath", "/health", "connectionLimit", 64,
						"protocol", "h1", "tls", false, "admissionCheck", false, "spare", false)),
				"limits", Map.of("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000,
						"idleTimeoutMs", 15000),
				"tenants", List.of());
	}

	void submitNext() {
		String id = "%016x".formatted(this.random.nextLong());
		long taskMillis = this.random.nextLong(50, 501);
		Map<String, Object> step = Map.of("count", 1 + this.random.nextInt(3), "cpu", 1_000, "memMb", 100,
				"estimatedMs", taskMillis);
		Map<String, Object> last = Map.of("count", 1, "cpu", 1_000, "memMb", 100, "estimatedMs", taskMillis, "after",
				List.of(0));
		boolean isChained = this.random.nextInt(4) == 0;
		JsonNode job = JsonServer.JSON.valueToTree(Map.of("specification", Long.toString(taskMillis), "steps",
				isChained ? List.of(step, last) : List.of(step)));
		submit(id, job, this.random.nextInt(this.entryHosts.size()), MAXIMUM_ATTEMPTS);
	}

	/**
	 * Returns whether a job has ended as done.
	 * @param id the job
	 * @return whether an entry host says so
	 */
	boolean isCompleted(String id) {
		return this.entryHosts.stream().anyMatch((host) -> {
			HttpResponse<String> answer = this.client
				.sendAsync(request(host, id).GET().build(), HttpResponse.BodyHandlers.ofString())
				.join();
			return answer.statusCode() == 200 && answer.body().contains("completed");
		});
	}

	Set<String> accepted() {
		return Set.copyOf(this.accepted);
	}

	// helpers

	private void submit(String id, JsonNode job, int host, int attempts) {
		HttpRequest request = request(this.entryHosts.get(host % this.entryHosts.size()), id)
			.POST(HttpRequest.BodyPublishers.ofString(job.toString()))
			.build();
		this.client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, failure) -> {
			if (failure == null && answer.statusCode() / 100 == 2) {
				this.accepted.add(id);
			}
			else if ((failure != null || answer.statusCode() == 502 || answer.statusCode() == 504) && attempts > 1) {
				NEXT_ATTEMPT.execute(() -> submit(id, job, host + 1, attempts - 1));
			}
		});
	}

	private static HttpRequest.Builder request(String host, String id) {
		return HttpRequest
			.newBuilder(URI.create("http://%s:%d%s%s".formatted(host, BatchDeployment.CALLER_PORT, PREFIX, id)))
			.timeout(Duration.ofMillis(ATTEMPT_MILLIS))
			.header("Host", HOST)
			.header("X-Deadline-Remaining", Long.toString(ATTEMPT_MILLIS))
			.header("Content-Type", "application/json");
	}

}
