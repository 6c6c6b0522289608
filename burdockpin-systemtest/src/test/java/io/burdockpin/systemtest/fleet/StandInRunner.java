package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.ProgramProcess;
import io.burdockpin.testbench.runner.RunnerBehaviour;

/** A stand-in runner in its own process, with its record of starts. Owned by one test. */
public final class StandInRunner {

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String queue;

	private final ProgramProcess process;

	private final EndPoint controlAddress;

	private final Path startedFile;

	StandInRunner(String queue, ProgramProcess process, EndPoint controlAddress, Path startedFile) {
		this.queue = queue;
		this.process = process;
		this.controlAddress = controlAddress;
		this.startedFile = startedFile;
	}

	// configuration

	/**
	 * Switches how it treats requests, as soon as it has started.
	 * @param behaviour the new behaviour
	 */
	public void behave(RunnerBehaviour behaviour) {
		Await
			.until("behaviour " + behaviour,
					() -> call(HttpRequest
						.newBuilder(URI.create("http://" + this.controlAddress + "/behaviour/" + behaviour))
						.POST(BodyPublishers.noBody())).has("behaviour"));
	}

	// access

	/**
	 * Returns the queue that it serves.
	 * @return the name of the queue
	 */
	public String queue() {
		return this.queue;
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public ProgramProcess process() {
		return this.process;
	}

	/**
	 * Reads a count of the runner.
	 * @param name name of the count
	 * @return its value
	 */
	public long count(String name) {
		return call(HttpRequest.newBuilder(URI.create("http://" + this.controlAddress + "/counts"))).path(name)
			.asLong();
	}

	/**
	 * Reads the record of starts, also after the end of the process.
	 * @return the starts in order
	 */
	public List<StartRecord> starts() {
		try {
			return Files.exists(this.startedFile)
					? Files.readAllLines(this.startedFile).stream().map(StartRecord::parse).toList() : List.of();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// helpers

	private JsonNode call(HttpRequest.Builder request) {
		try {
			return MAPPER.readTree(CLIENT.send(request.build(), BodyHandlers.ofString()).body());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
