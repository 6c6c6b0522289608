package io.burdockpin.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@code burdockctl explain placement} against a stand-in for the scheduler. */
class PlacementExplanationTests {

	private static final String EXPLANATION = """
			{"job":"j1","accepted":true,"phase":"QUEUED","queue":{"host":"h","pathPrefix":"/q/"},"pool":"day",
			"priority":1,"workspace":"team","steps":[{"occurrence":0,"step":0,"state":"WAITING","position":3,
			"decision":"WAITS","waitMillis":200,"places":[],"candidates":[
			{"runner":"r1","rack":"a","freeMillicores":100,"exclusion":"NO_CAPACITY"}]}],
			"stateIndex":7,"stateAgeMillis":5,"responder":"10.0.0.1"}""";

	private final List<String> bodies = new ArrayList<>();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	private HttpServer server;

	private int status = 200;

	private String response = EXPLANATION;

	@BeforeEach
	void startScheduler() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/operator/v1/placement-explanations", (exchange) -> {
			this.bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			byte[] body = this.response.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(this.status, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		this.server.start();
	}

	@AfterEach
	void stopScheduler() {
		this.server.stop(0);
	}

	@Test
	void anAcceptedJobIsExplainedAsTextAndAsJson() {
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.bodies).containsExactly("{\"job\":\"j1\"}");
		Truth.assertThat(this.output.toString()).contains("position 3 among the waiting steps of the pool");
		Truth.assertThat(this.output.toString()).contains("waits for a near place, for at most 200 ms");
		Truth.assertThat(this.output.toString()).contains("runner r1, rack a, 100 millicores free: has too little");
		Truth.assertThat(this.output.toString()).contains("log index 7, applied 5 ms before; explained by 10.0.0.1");
		this.output.reset();
		Truth.assertThat(run("--job", "j1", "--json")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.output.toString()).contains("\"position\":3");
	}

	@Test
	void aJobFileIsSentWithTheAddressOfItsQueueAndItsKey() throws IOException {
		Path job = Files.writeString(this.folder.resolve("job.json"), "{\"steps\":[{}]}");
		Path key = Files.writeString(this.folder.resolve("key"), "secret\n");
		Truth
			.assertThat(
					run("--file", job.toString(), "--queue-host", "h", "--path", "/q/j", "--key-file", key.toString()))
			.isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.bodies)
			.containsExactly("{\"host\":\"h\",\"path\":\"/q/j\",\"key\":\"secret\",\"submission\":{\"steps\":[{}]}}");
	}

	/** Guards against wrong input that reaches the scheduler or ends without a reason. */
	@Test
	void wrongInputEndsWithTheStatusOfTheOtherVerbs() throws IOException {
		Path broken = Files.writeString(this.folder.resolve("broken.json"), "{");
		Truth.assertThat(run()).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(run("--job", "j1", "--file", broken.toString())).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(run("--file", broken.toString())).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(run("--file", broken.toString(), "--queue-host", "h", "--path", "/q/j"))
			.isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(run("--file", "missing", "--queue-host", "h", "--path", "/q/j"))
			.isEqualTo(OperatorExit.LOCAL_FILE);
		Truth.assertThat(this.bodies).isEmpty();
		this.status = 400;
		this.response = "{\"error\":\"INVALID\",\"message\":\"steps are missing\"}";
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(this.errors.toString()).contains("steps are missing");
	}

	@Test
	void withoutALeaderOrAJobItSaysSo() {
		this.status = 503;
		this.response = "{\"error\":\"NO_LEADER\",\"message\":\"cannot be explained now\"}";
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.REFUSED);
		Truth.assertThat(this.errors.toString()).contains("cannot be explained now (NO_LEADER)");
		this.status = 404;
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.REFUSED);
		this.server.stop(0);
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.UNREACHABLE);
	}

	/**
	 * Guards against advice to send an order again after a question that changes nothing.
	 */
	@Test
	void aQuestionWithoutAnAnswerEndsAsUnreachable() {
		this.server.removeContext("/operator/v1/placement-explanations");
		this.server.createContext("/operator/v1/placement-explanations", HttpExchange::close);
		Truth.assertThat(run("--job", "j1")).isEqualTo(OperatorExit.UNREACHABLE);
		Truth.assertThat(this.errors.toString()).contains("did not respond");
	}

	private OperatorExit run(String... arguments) {
		List<String> words = new ArrayList<>(List.of("explain", "placement", "--scheduler",
				"127.0.0.1:" + this.server.getAddress().getPort(), "--timeout-seconds", "5"));
		words.addAll(List.of(arguments));
		return new OperatorProgram(new PrintStream(this.output), new PrintStream(this.errors), Map.of(),
				(timeout, trustFile) -> new FakeEntries())
			.run(words.toArray(new String[0]));
	}

}
