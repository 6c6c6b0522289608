package io.burdockpin.systemtest.fleet;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Sends requests to entry hosts as callers do. Immutable. */
public final class Caller {

	private static final Duration LONGEST_ANSWER = Duration.ofSeconds(75);

	private final String queue;

	private final Optional<String> key;

	/**
	 * Creates a caller.
	 * @param queue the queue it uses
	 * @param key its team key, if it has one
	 */
	public Caller(String queue, Optional<String> key) {
		this.queue = queue;
		this.key = key;
	}

	// access

	/**
	 * Sends a request.
	 * @param entry the entry host
	 * @param request the request
	 * @return the answer, without an outcome if none came
	 */
	public CompletableFuture<Answer> send(EntryHost entry, CallerRequest request) {
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create(entry.url() + "/v1/queues/" + this.queue + "/requests"))
			.timeout(LONGEST_ANSWER)
			.header("Burdock-Request-Id", request.requestId())
			.header("Burdock-Repeatable", Boolean.toString(request.repeatable()))
			.header("Burdock-Timeout-Ms", Long.toString(request.timeoutMillis()))
			.POST(BodyPublishers.ofString(request.body()));
		this.key.ifPresent((value) -> builder.header("Burdock-Key", value));
		return entry.web()
			.client()
			.sendAsync(builder.build(), BodyHandlers.ofString())
			.thenApply((response) -> Answer.of(request, response))
			.exceptionally((failure) -> Answer.none(request));
	}

	/**
	 * A request of a caller.
	 *
	 * @param requestId its identifier
	 * @param body its body
	 * @param repeatable whether it may run more than once
	 * @param timeoutMillis how long the caller waits
	 */
	public record CallerRequest(String requestId, String body, boolean repeatable, long timeoutMillis) {

	}

	/**
	 * What the caller got.
	 *
	 * @param request the request
	 * @param status the HTTP status, 0 without an answer
	 * @param body the whole body
	 */
	public record Answer(CallerRequest request, int status, String body) {

		static Answer of(CallerRequest request, HttpResponse<String> response) {
			return new Answer(request, response.statusCode(), response.body());
		}

		static Answer none(CallerRequest request) {
			return new Answer(request, 0, "");
		}

		/**
		 * Tells whether the answer is the runner's echo of this request.
		 * @return {@code true} for the whole echo
		 */
		public boolean isOwnEcho() {
			return this.status == 200 && this.body.equals(this.request.body());
		}

		/**
		 * Tells whether the answer says that the request was not run.
		 * @return {@code true} if it does
		 */
		public boolean saysNotRun() {
			return this.status != 200 && this.body.contains("\"outcome\":\"NOT_RUN\"");
		}

		/**
		 * Tells whether the answer carries an error code.
		 * @param code the code
		 * @return {@code true} if it does
		 */
		public boolean hasCode(String code) {
			return this.body.contains("\"code\":\"" + code + "\"");
		}

	}

}
