package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.testbench.program.ProgramProcess;

/**
 * A program of a measured fleet, in a JVM of its own, with its settings file and health
 * page. Used by one thread.
 */
final class RealProcess implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final HttpClient CLIENT = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	private static final long POLL_MILLIS = 5;

	private static final long LONGEST_START_MILLIS = 120_000;

	private static final Executor NEXT_POLL = CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);

	private final URI health;

	private final ProgramProcess process;

	RealProcess(String name, Class<?> mainClass, Path folder, Map<String, Object> settings, String healthAddress,
			String... arguments) {
		this.health = URI.create("http://" + healthAddress + "/health");
		List<String> commandLine = new ArrayList<>(
				List.of("--settings", write(folder.resolve(name + ".json"), settings)));
		commandLine.addAll(List.of(arguments));
		this.process = new ProgramProcess(name, folder, mainClass, commandLine);
		this.process.start();
	}

	void awaitEnd() {
		this.process.awaitEnd();
	}

	/**
	 * Waits until a number on the health page reaches a value.
	 * @param field the name of the number
	 * @param value the value
	 */
	void awaitNumber(String field, long value) {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_START_MILLIS);
		while (number(field) < value) {
			if (System.nanoTime() > endNanos || !this.process.isAlive()) {
				throw new IllegalStateException(
						"%s did not reach %d: %s".formatted(field, value, this.process.output()));
			}
			CompletableFuture.runAsync(() -> {
			}, NEXT_POLL).join();
		}
	}

	long processId() {
		return this.process.processId();
	}

	long processorMillis() {
		return this.process.processorMillis();
	}

	@Override
	public void close() {
		this.process.close();
		// The next process may use the same addresses and files.
		this.process.awaitEnd();
	}

	private static String write(Path file, Map<String, Object> settings) {
		try {
			return Files.writeString(file, MAPPER.writeValueAsString(settings)).toString();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private long number(String field) {
		JsonNode page = page();
		return (page.has(field) ? page : page.path("details")).path(field).asLong(-1);
	}

	private JsonNode page() {
		try {
			HttpRequest request = HttpRequest.newBuilder(this.health).timeout(Duration.ofSeconds(2)).build();
			return MAPPER.readTree(CLIENT.send(request, BodyHandlers.ofString()).body());
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
