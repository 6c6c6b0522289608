package io.burdockpin.testbench.runner;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.FakeEntryHost;
import io.burdockpin.testbench.program.TestbenchProgram;
import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a stand-in runner that does not keep the protocol of design 7.3. */
@Timeout(60)
class RunnerGuardianTests {

	/** The runner's clock may start anywhere. */
	private static final long CLOCK_MILLIS = 5_000;

	private final HttpClient client = HttpClient.newHttpClient();

	@TempDir
	private Path folder;

	private FakeEntryHost entry;

	private RunnerSettings settings;

	private ActorSystem<GuardianCommand> system;

	@BeforeEach
	void start() throws Exception {
		this.entry = new FakeEntryHost(
				"{\"entryHost\":\"e1\",\"attached\":true,\"attachmentMillis\":3000,\"attachTo\":null}");
		this.settings = new RunnerSettings("r1", "booking", "dc1", FakeEntryHost.freeAddress(),
				FakeEntryHost.freeAddress(), List.of(this.entry.address()), 8, 64, 10, 100, 3000,
				Optional.of(this.folder.resolve("started")), RunnerBehaviour.NORMAL, Optional.empty(),
				Optional.empty());
		this.system = ActorSystem.create(RunnerGuardian.create(this.settings, new CompletableFuture<>(),
				() -> Instant.ofEpochMilli(CLOCK_MILLIS)), "test", TestbenchProgram.actorConfiguration());
		this.entry.nextAnnouncement();
	}

	@AfterEach
	void stop() throws Exception {
		this.system.terminate();
		this.system.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
		this.entry.close();
	}

	@Test
	void theRunnerAnnouncesItsSlotsConnectionsAndEpoch() throws Exception {
		JsonNode announcement = this.entry.nextAnnouncement();
		Truth.assertThat(announcement.get("runner").asText()).isEqualTo("r1");
		Truth.assertThat(announcement.get("address").asText()).isEqualTo(this.settings.address().toString());
		Truth.assertThat(announcement.get("slots").asInt()).isEqualTo(8);
		Truth.assertThat(announcement.get("connections").asInt()).isEqualTo(64);
		Truth.assertThat(announcement.get("epoch").asLong()).isGreaterThan(0L);
	}

	@Test
	void aRequestIsEchoedWithItsAttemptAndNotedInTheFile() throws Exception {
		HttpResponse<String> response = run("1-a", "hello");
		Truth.assertThat(response.statusCode()).isEqualTo(200);
		Truth.assertThat(response.body()).isEqualTo("hello");
		Truth.assertThat(response.headers().firstValue("Burdock-Attempt")).hasValue("7");
		Truth.assertThat(Files.readAllLines(this.folder.resolve("started")).get(0)).contains(" 1-a 7 r1");
	}

	@Test
	void anAnswerCutShortIsNotACompleteAnswer() throws Exception {
		post(this.settings.controlAddress(), "/behaviour/cut_short");
		Optional<HttpResponse<String>> response = tryRun("1-b", "hello world");
		Truth.assertThat(response).isEmpty();
	}

	@Test
	void aRefusalSaysThatTheRequestDidNotRun() throws Exception {
		post(this.settings.controlAddress(), "/behaviour/refuse_everything");
		HttpResponse<String> response = run("1-c", "hello");
		Truth.assertThat(response.statusCode()).isEqualTo(503);
		Truth.assertThat(response.headers().firstValue("Burdock-Not-Run")).hasValue("true");
		Truth.assertThat(Files.readString(this.folder.resolve("started"))).isEmpty();
	}

	/**
	 * Guards against work that starts when its request was stuck on the way, for example
	 * in a frozen entry host, until the tokens of the team were used elsewhere.
	 */
	@Test
	void aRequestThatArrivesAfterItsDeadlineDoesNotRun() throws Exception {
		Truth.assertThat(this.entry.nextAnnouncement().get("clockMillis").asLong()).isEqualTo(CLOCK_MILLIS);
		Truth.assertThat(statusAtDeadline("1-e", CLOCK_MILLIS + 1)).isEqualTo(200);
		Truth.assertThat(statusAtDeadline("1-f", CLOCK_MILLIS)).isEqualTo(503);
		Truth.assertThat(Files.readString(this.folder.resolve("started"))).doesNotContain("1-f");
	}

	@Test
	void aStoppedRunnerFinishesItsRequestAndAnnouncesThatItLeaves() throws Exception {
		post(this.settings.controlAddress(), "/behaviour/slow");
		CompletableFuture<HttpResponse<String>> response = this.client.sendAsync(request("1-d", "last"),
				HttpResponse.BodyHandlers.ofString());
		this.entry.awaitAnnouncement((announcement) -> announcement.get("slotsInUse").asInt() == 1);
		this.system.tell(GuardianCommand.Stop.INSTANCE);
		this.entry.awaitAnnouncement((announcement) -> announcement.get("leaving").asBoolean());
		Truth.assertThat(response.get(20, TimeUnit.SECONDS).body()).isEqualTo("last");
		this.system.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

	private HttpResponse<String> run(String requestId, String body) throws Exception {
		return this.client.send(request(requestId, body), HttpResponse.BodyHandlers.ofString());
	}

	private int statusAtDeadline(String requestId, long deadlineMillis) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(request(requestId, "late"), (name, value) -> true)
			.header("Burdock-Runner-Deadline-Ms", Long.toString(deadlineMillis))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
	}

	private Optional<HttpResponse<String>> tryRun(String requestId, String body) throws Exception {
		try {
			return Optional.of(run(requestId, body));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private HttpRequest request(String requestId, String body) {
		return HttpRequest.newBuilder(URI.create("http://" + this.settings.address() + "/run"))
			.version(HttpClient.Version.HTTP_1_1)
			.header("Burdock-Attempt", "7")
			.header("Burdock-Request-Id", requestId)
			.header("Burdock-Deadline-Ms", "5000")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
	}

	private void post(EndPoint address, String path) throws Exception {
		this.client.send(HttpRequest.newBuilder(URI.create("http://" + address + path))
			.POST(HttpRequest.BodyPublishers.noBody())
			.build(), HttpResponse.BodyHandlers.discarding());
	}

}
