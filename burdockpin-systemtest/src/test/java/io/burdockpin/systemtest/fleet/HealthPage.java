package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.testbench.program.EndPoint;

/** Reads the health page of a program. Shared; holds only an HTTP client. */
public final class HealthPage {

	private static final Duration LONGEST_ANSWER = Duration.ofSeconds(3);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final EndPoint address;

	private final Web web;

	HealthPage(EndPoint address, Web web) {
		this.address = address;
		this.web = web;
	}

	// access

	/**
	 * Reads the page.
	 * @return the document, or nothing if the program does not answer
	 */
	public Optional<JsonNode> read() {
		try {
			return Optional.of(MAPPER.readTree(get("/health")));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Reads a number of the page.
	 * @param name the name of the field
	 * @return the number, or 0 if the program does not answer
	 */
	public long number(String name) {
		return read().map((page) -> field(page, name).asLong()).orElse(0L);
	}

	/**
	 * Tells whether a text of the page has a value.
	 * @param name the name of the field
	 * @param value the expected value
	 * @return {@code false} also if the program does not answer
	 */
	public boolean says(String name, String value) {
		return read().map((page) -> field(page, name).asText().equals(value)).orElse(false);
	}

	// helpers

	// The members name their fields on the page itself, the entry hosts under details.
	private static JsonNode field(JsonNode page, String name) {
		return page.has(name) ? page.path(name) : page.path("details").path(name);
	}

	private String get(String path) throws IOException {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create(this.web.scheme() + "://" + this.address + path))
				.timeout(LONGEST_ANSWER)
				.build();
			return this.web.client().send(request, BodyHandlers.ofString()).body();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new UncheckedIOException(new IOException("interrupted", ex));
		}
	}

}
