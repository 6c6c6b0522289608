package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

import com.google.common.truth.Truth;
import io.burdockpin.systemtest.fleet.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients outside the limits against real processes with little heap. Each test checks
 * that the process lives, that its memory and its open descriptors stay under a bound,
 * and that an ordinary request is acknowledged while the clients keep their connections.
 * It checks no times and no share of served requests. Run apart from other load.
 */
@Tag("client-load")
class ClientLoadTests {

	private static final int CLIENTS = 150;

	/** The clients, the links between the processes, files and what the JVM opens. */
	private static final int MAXIMUM_DESCRIPTORS = 400;

	/** Heap by role: enough for the work of the test, less than the load sends. */
	private static final Map<String, Integer> HEAP_MEGABYTES = Map.of("entry", 40, "control", 80);

	private static final Path PROGRAMS = Path.of(System.getProperty("burdockpin.soak.programs", ".."))
		.toAbsolutePath()
		.normalize();

	/**
	 * Time for the process to receive what its system holds for it, which the clients see
	 * as sent.
	 */
	private static final Duration SETTLING_TIME = Duration.ofSeconds(4);

	private static final Duration SAMPLING_TIME = Duration.ofMillis(25);

	private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(3);

	private static final Pattern END_OF_PROCESS = Pattern.compile("OutOfMemoryError|SEVERE");

	private final AtomicInteger requests = new AtomicInteger();

	@TempDir
	private Path folder;

	private BatchDeployment deployment;

	@BeforeEach
	void start() throws IOException {
		Truth.assertWithMessage("the platform module must be packaged first")
			.that(Files.exists(PROGRAMS.resolve("target/burdockpin-platform.jar")))
			.isTrue();
		this.deployment = new BatchDeployment(PROGRAMS, this.folder, HEAP_MEGABYTES);
		this.deployment.startProcesses();
		Await.until("the deployment serves",
				() -> isAcknowledged(LoadTarget.CONTROL) && isAcknowledged(LoadTarget.CALLERS) && isReady());
	}

	@AfterEach
	void stop() {
		this.deployment.close();
	}

	/** Guards against a process whose memory is filled with header sections. */
	@ParameterizedTest
	@EnumSource
	void headerSectionsOverTheLimitOrWithoutEndAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.HEADER_SECTIONS, target);
	}

	/** Guards against a process that keeps, or searches again, empty lines. */
	@ParameterizedTest
	@EnumSource
	void emptyLinesWithoutEndBeforeARequestAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.EMPTY_LINES, target);
	}

	/** Guards against a process whose memory is filled with bodies of legal size. */
	@ParameterizedTest
	@EnumSource
	void wholeBodiesThatStopShortOfTheirEndAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.WHOLE_BODIES, target);
	}

	/**
	 * Guards against a process whose memory is filled with bodies and with what each
	 * received part costs.
	 */
	@ParameterizedTest
	@EnumSource
	void bodiesInPiecesThatStopShortOfTheirEndAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.BODIES_IN_PIECES, target);
	}

	/** Guards against a process whose memory is filled with chunked bodies. */
	@ParameterizedTest
	@EnumSource
	void bodiesInLargeChunksThatStopShortOfTheirEndAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.LARGE_CHUNKS, target);
	}

	/** Guards against a process that keeps the framing of many small chunks. */
	@ParameterizedTest
	@EnumSource
	void bodiesInTinyChunksThatStopShortOfTheirEndAreBorne(LoadTarget target) {
		assertBorne(ClientLoad.TINY_CHUNKS, target);
	}

	private void assertBorne(ClientLoad load, LoadTarget target) {
		BatchProcess process = target.process(this.deployment);
		ProcessUsage usage = new ProcessUsage(process.pid());
		try (LoadClients clients = new LoadClients(target.address(this.deployment), CLIENTS, load, target)) {
			clients.run(usage::sample);
			settle(usage);
			boolean answered = answersAnOrdinaryRequest(target, process, usage);
			System.out.printf("%s at %s: sent %d KiB, %d of %d connections open, %s%n", load, target,
					clients.sentBytes() / 1_024, clients.openConnections(), CLIENTS, usage);
			Truth.assertWithMessage("the process lives; its log: %s", process.logLines(END_OF_PROCESS))
				.that(process.isAlive())
				.isTrue();
			Truth.assertWithMessage("an ordinary request is acknowledged").that(answered).isTrue();
			Truth.assertWithMessage("largest resident memory, KiB")
				.that(usage.maximumMemoryKilobytes())
				.isAtMost(target.maximumMemoryKilobytes());
			Truth.assertWithMessage("most open descriptors")
				.that(usage.maximumDescriptors())
				.isAtMost(MAXIMUM_DESCRIPTORS);
			Await.until("the load balancer's check is answered", this::isReady);
			Truth.assertWithMessage("the process lives after the check").that(process.isAlive()).isTrue();
		}
	}

	private static void settle(ProcessUsage usage) {
		long endNanos = System.nanoTime() + SETTLING_TIME.toNanos();
		while (System.nanoTime() < endNanos) {
			Await.pass(SAMPLING_TIME);
			usage.sample();
		}
	}

	// A caller repeats a request that was not acknowledged.
	private boolean answersAnOrdinaryRequest(LoadTarget target, BatchProcess process, ProcessUsage usage) {
		try {
			Await.until("an ordinary request is acknowledged or the process has ended", () -> {
				usage.sample();
				return isAcknowledged(target) || !process.isAlive();
			});
			return process.isAlive();
		}
		catch (AssertionError ex) {
			// The assertion on the result says what failed.
			return false;
		}
	}

	private boolean isAcknowledged(LoadTarget target) {
		return status(target.ordinaryRequest(this.deployment, this.requests.incrementAndGet())) / 100 == 2;
	}

	private boolean isReady() {
		String entryHost = this.deployment.entryAddresses().findFirst().orElseThrow();
		return status(HttpRequest
			.newBuilder(URI.create("http://%s:%d/".formatted(entryHost, BatchDeployment.READINESS_PORT)))) == 200;
	}

	// Returns 0 if there was no response.
	private int status(HttpRequest.Builder request) {
		return this.deployment.client()
			.sendAsync(request.timeout(ATTEMPT_TIMEOUT).build(), HttpResponse.BodyHandlers.discarding())
			.handle((response, failure) -> (failure != null) ? 0 : response.statusCode())
			.join();
	}

}
