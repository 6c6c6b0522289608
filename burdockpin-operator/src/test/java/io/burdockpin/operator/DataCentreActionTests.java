package io.burdockpin.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.google.common.truth.Truth;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order about a data centre whose outcome is reported wrongly. An HTTP
 * server of the JDK takes the place of the scheduler.
 */
class DataCentreActionTests {

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	private volatile int status = 200;

	private volatile String body = "{}";

	private HttpServer server;

	@BeforeEach
	void listen() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
		this.server.createContext("/", (exchange) -> {
			this.requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath());
			byte[] response = this.body.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(this.status, response.length);
			exchange.getResponseBody().write(response);
			exchange.close();
		});
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop(0);
	}

	@Test
	void aDataCentreIsClosedAndOpened() {
		Truth.assertThat(run("close", "north 1")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(run("open", "north 1")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.requests)
			.containsExactly("PUT /operator/v1/data-centres/north%201/closing",
					"DELETE /operator/v1/data-centres/north%201/closing")
			.inOrder();
		Truth.assertThat(this.output.toString())
			.isEqualTo("data centre north 1: closed\ndata centre north 1: opened\n");
	}

	@Test
	void closedDataCentresAreListed() {
		this.body = "{\"dataCentres\":[{\"name\":\"north\",\"closed\":true,\"sinceMillis\":5,"
				+ "\"origin\":\"operator\",\"runners\":2,\"tasks\":3},"
				+ "{\"name\":\"south\",\"closed\":false,\"runners\":1,\"tasks\":0}]}";
		Truth.assertThat(run("list")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.output.toString()).contains("north  true    5            operator  2        3");
		Truth.assertThat(this.output.toString()).contains("south  false");
	}

	@Test
	void aRefusalAndAnUnknownOutcomeHaveDifferentStatuses() {
		this.status = 404;
		Truth.assertThat(run("close", "x")).isEqualTo(OperatorExit.REFUSED);
		this.status = 503;
		Truth.assertThat(run("close", "x")).isEqualTo(OperatorExit.REFUSED);
		this.status = 504;
		Truth.assertThat(run("close", "x")).isEqualTo(OperatorExit.OUTCOME_UNKNOWN);
		this.server.stop(0);
		Truth.assertThat(run("close", "x")).isEqualTo(OperatorExit.UNREACHABLE);
	}

	@Test
	void anAddressThatIsMalformedIsAWrongCommandLine() {
		Truth.assertThat(program().run(new String[] { "data-centre", "list", "--scheduler", "scheduler" }))
			.isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(program().run(new String[] { "data-centre", "list" })).isEqualTo(OperatorExit.USAGE);
	}

	private OperatorExit run(String... words) {
		String[] args = new String[words.length + 3];
		args[0] = "data-centre";
		System.arraycopy(words, 0, args, 1, words.length);
		args[args.length - 2] = "--scheduler";
		args[args.length - 1] = "127.0.0.1:" + this.server.getAddress().getPort();
		return program().run(args);
	}

	private OperatorProgram program() {
		return new OperatorProgram(new PrintStream(this.output), new PrintStream(this.errors), Map.of(),
				(timeout, trustFile) -> (entry, call) -> {
					throw new IOException("no entry host is used");
				});
	}

}
