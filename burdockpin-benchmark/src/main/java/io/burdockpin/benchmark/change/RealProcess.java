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

/**
 * A program in a JVM of its own with the options of the launchers. Ends with this JVM at
 * the latest. Used by one thread.
 */
final class RealProcess implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final HttpClient CLIENT = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	private static final long POLL_MILLIS = 5;

	private static final long LONGEST_START_MILLIS = 120_000;

	private static final Executor NEXT_POLL = CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);

	private final URI health;

	private final List<String> command;

	private final Path log;

	private final Process process;

	RealProcess(String name, Class<?> mainClass, Path folder, Map<String, Object> settings, String healthAddress,
			String... arguments) {
		this.health = URI.create("http://" + healthAddress + "/health");
		this.log = folder.resolve(name + ".log");
		this.command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms8m", "-Xmx64m", "-XX:MaxDirectMemorySize=32m",
				"-XX:-UsePerfData", "-cp", System.getProperty("java.class.path"), mainClass.getName(), "--settings"));
		try {
			Path file = Files.writeString(folder.resolve(name + ".json"), MAPPER.writeValueAsString(settings));
			this.command.add(file.toString());
			this.command.addAll(List.of(arguments));
			this.process = new ProcessBuilder(this.command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	void awaitEnd() {
		this.process.onExit().orTimeout(LONGEST_START_MILLIS, TimeUnit.MILLISECONDS).join();
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
				throw new IllegalStateException("%s did not reach %d, see %s".formatted(field, value, this.log));
			}
			CompletableFuture.runAsync(() -> {
			}, NEXT_POLL).join();
		}
	}

	long processId() {
		return this.process.pid();
	}

	long processorMillis() {
		return this.process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		this.process.onExit().orTimeout(LONGEST_START_MILLIS, TimeUnit.MILLISECONDS).join();
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
