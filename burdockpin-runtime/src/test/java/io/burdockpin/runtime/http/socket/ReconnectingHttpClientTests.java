package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests to a server socket that the test controls. */
class ReconnectingHttpClientTests {

	/** Limits a test that would otherwise hang. */
	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(100);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<ReconnectingHttpClient.Outcome> outcomes = this.testKit.createTestProbe();

	private ServerSocket server;

	private ActorRef<ReconnectingHttpClient.Command> client;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.client = this.testKit
			.spawn(ReconnectingHttpClient.create(new InetSocketAddress("127.0.0.1", this.server.getLocalPort())));
	}

	@AfterEach
	void stop() throws IOException {
		this.testKit.shutdownTestKit();
		this.server.close();
	}

	@Test
	void aRequestContainsItsHeadersAndItsBody() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket accepted = this.server.accept()) {
			String received = readRequest(accepted);
			Truth.assertThat(received).startsWith("POST /path?page=1 HTTP/1.1\r\n");
			Truth.assertThat(received).contains("\r\nHost: 127.0.0.1:" + this.server.getLocalPort() + "\r\n");
			Truth.assertThat(received).contains("\r\nX-Name: value\r\n");
			Truth.assertThat(received).contains("\r\nContent-Length: 2\r\n");
			Truth.assertThat(received).endsWith("\r\n\r\n{}");
			respond(accepted, "HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nabc");
			assertResponse(409, "abc");
		}
	}

	@Test
	void severalRequestsShareAConnection() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket accepted = this.server.accept()) {
			readRequest(accepted);
			respond(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			assertResponse(200, "");
			request(TEST_TIMEOUT);
			readRequest(accepted);
			respond(accepted, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
			assertResponse(200, "abc");
		}
	}

	@Test
	void aRequestAfterConnectionCloseOpensANewConnection() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket first = this.server.accept()) {
			readRequest(first);
			respond(first, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
			assertResponse(200, "");
			assertNextRequestOpensAConnection();
		}
	}

	/**
	 * Guards against a late response that is taken for the response to the next request.
	 */
	@Test
	void aRequestThatTimesOutClosesItsConnection() throws IOException {
		request(SHORT_TIMEOUT);
		try (Socket first = this.server.accept()) {
			readRequest(first);
			Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
			assertNextRequestOpensAConnection();
		}
	}

	@Test
	void theOutcomeIsUnknownIfTheConnectionClosesBeforeTheResponse() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket accepted = this.server.accept()) {
			readRequest(accepted);
			respond(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
		}
		Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
	}

	@Test
	void aRefusedConnectionIsReported() throws IOException {
		this.server.close();
		request(TEST_TIMEOUT);
		Truth.assertThat(this.outcomes.receiveMessage())
			.isEqualTo(ReconnectingHttpClient.Outcome.None.CONNECTION_REFUSED);
	}

	private void assertNextRequestOpensAConnection() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket accepted = this.server.accept()) {
			readRequest(accepted);
			respond(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
			assertResponse(200, "x");
		}
	}

	private void request(Duration timeout) {
		HttpClientRequest request = HttpClientRequest.post("/path?page=1", "{}".getBytes(StandardCharsets.UTF_8))
			.withHeader("X-Name", "value");
		this.client
			.tell(new ReconnectingHttpClient.Request(request, timeout, Optional.empty(), this.outcomes.getRef()));
	}

	private void assertResponse(int status, String body) {
		ReconnectingHttpClient.Outcome.Response response = (ReconnectingHttpClient.Outcome.Response) this.outcomes
			.receiveMessage();
		Truth.assertThat(response.status()).isEqualTo(status);
		Truth.assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo(body);
	}

	// All requests of these tests end with an empty object.
	private static String readRequest(Socket accepted) throws IOException {
		StringBuilder received = new StringBuilder();
		while (!received.toString().endsWith("{}")) {
			int next = accepted.getInputStream().read();
			if (next < 0) {
				throw new IOException("the connection ended within a request");
			}
			received.append((char) next);
		}
		return received.toString();
	}

	private static void respond(Socket accepted, String response) throws IOException {
		accepted.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
		accepted.getOutputStream().flush();
	}

}
