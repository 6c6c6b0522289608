package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

import com.google.common.truth.Truth;
import com.google.common.util.concurrent.Uninterruptibles;
import io.burdockpin.runtime.socket.ListeningSocket;
import io.burdockpin.runtime.socket.SocketTask;
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

	/** Enough for the request to be written. */
	private static final Duration HELD_TIMEOUT = Duration.ofSeconds(2);

	/** More than the system takes at once for a peer that does not read. */
	private static final int LARGE_BYTES = 6 * 1_024 * 1_024;

	/** Less than the system takes, more than the receiver's buffer. */
	private static final int HELD_BYTES = 1_024 * 1_024;

	private final SocketTask sockets = new SocketTask();

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<ReconnectingHttpClient.Outcome> outcomes = this.testKit.createTestProbe();

	private ServerSocket server;

	private ActorRef<ReconnectingHttpClient.Command> client;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.sockets.start();
		this.client = spawnClient(this.server);
	}

	@AfterEach
	void stop() throws IOException {
		this.testKit.shutdownTestKit();
		this.server.close();
		this.sockets.stop();
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

	/**
	 * Guards against a leader that is paused between the look at the window of an order
	 * and the write to the socket, and then sends it after its successor has sent others.
	 */
	@Test
	void aRequestWhoseConditionEndsWhileItWaitsForTheOwnerOfTheSocketIsNotSent() throws IOException {
		request(TEST_TIMEOUT);
		try (Socket accepted = this.server.accept()) {
			readRequest(accepted);
			respond(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			assertResponse(200, "");
			AtomicBoolean open = new AtomicBoolean(true);
			CountDownLatch release = blockSocketTask();
			request(new byte[0], TEST_TIMEOUT, Optional.of(open::get));
			this.outcomes.expectNoMessage(SHORT_TIMEOUT);
			open.set(false);
			release.countDown();
			Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.NOT_SENT);
			Truth.assertThat(accepted.getInputStream().available()).isEqualTo(0);
			request(TEST_TIMEOUT);
			Truth.assertThat(readRequest(accepted)).startsWith("POST /path?page=1 ");
		}
	}

	/** Guards against an order that is sent late because its connection took long. */
	@Test
	void aRequestWhoseConditionEndsWhileTheConnectionIsOpenedIsNotSent() throws IOException {
		request(new byte[0], TEST_TIMEOUT, Optional.of(() -> false));
		try (Socket accepted = this.server.accept()) {
			Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.NOT_SENT);
			Truth.assertThat(accepted.getInputStream().available()).isEqualTo(0);
		}
	}

	/** Guards against the rest of an order that is sent after its window. */
	@Test
	void aRequestThatIsPartlySentWhenItsConditionEndsIsNotCompleted() throws IOException {
		AtomicBoolean open = new AtomicBoolean(true);
		try (ServerSocket unread = listenWithSmallBuffer()) {
			request(new byte[LARGE_BYTES], TEST_TIMEOUT, Optional.of(open::get));
			try (Socket accepted = unread.accept()) {
				awaitFullBuffer(accepted);
				open.set(false);
				Truth.assertThat(readUntilReset(accepted)).isLessThan(LARGE_BYTES);
				Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
			}
		}
	}

	/** Guards against an order that the system delivers after it was given up. */
	@Test
	void aRequestThatTimesOutIsNotDeliveredLater() throws IOException {
		try (ServerSocket unread = listenWithSmallBuffer()) {
			request(new byte[HELD_BYTES], HELD_TIMEOUT, Optional.empty());
			try (Socket accepted = unread.accept()) {
				awaitFullBuffer(accepted);
				Truth.assertThat(this.outcomes.receiveMessage(Duration.ofSeconds(30)))
					.isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
				awaitReset(accepted);
				Truth.assertThat(readRest(accepted)).isLessThan(HELD_BYTES / 2);
			}
		}
	}

	/** Guards against an order that the system delivers after its sender has stopped. */
	@Test
	void aRequestWhoseClientStopsIsNotDeliveredLater() throws IOException {
		try (ServerSocket unread = listenWithSmallBuffer()) {
			request(new byte[HELD_BYTES], TEST_TIMEOUT, Optional.empty());
			try (Socket accepted = unread.accept()) {
				awaitFullBuffer(accepted);
				this.testKit.stop(this.client);
				awaitReset(accepted);
				Truth.assertThat(readRest(accepted)).isLessThan(HELD_BYTES / 2);
			}
		}
	}

	@Test
	void theOutcomeIsUnknownIfTheServerDoesNotAnswerTheConnection() throws IOException, InterruptedException {
		// The system drops further connections while the queue is full.
		try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
				Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
			Truth.assertThat(first.isConnected() && second.isConnected()).isTrue();
			this.client = spawnClient(full);
			long beginNanos = System.nanoTime();
			request(TEST_TIMEOUT);
			Truth.assertThat(this.outcomes.receiveMessage(Duration.ofSeconds(30)))
				.isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
			Truth.assertThat(Duration.ofNanos(System.nanoTime() - beginNanos)).isAtLeast(Duration.ofMillis(690));
		}
	}

	// Blocks the thread of the task until the latch is released.
	private CountDownLatch blockSocketTask() throws IOException {
		CountDownLatch blocked = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		ListeningSocket listening = this.sockets.listen(new InetSocketAddress("127.0.0.1", 0));
		listening.accept((connection) -> {
			blocked.countDown();
			Uninterruptibles.awaitUninterruptibly(release);
		});
		try (Socket trigger = new Socket(listening.address().getAddress(), listening.address().getPort())) {
			Uninterruptibles.awaitUninterruptibly(blocked);
			return release;
		}
	}

	private ActorRef<ReconnectingHttpClient.Command> spawnClient(ServerSocket target) {
		return this.testKit.spawn(
				ReconnectingHttpClient.create(this.sockets, new InetSocketAddress("127.0.0.1", target.getLocalPort())));
	}

	private ServerSocket listenWithSmallBuffer() throws IOException {
		ServerSocket unread = new ServerSocket();
		unread.setReceiveBufferSize(4_096);
		unread.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.client = spawnClient(unread);
		return unread;
	}

	// Waits until the bytes that the receiver can hold do not increase any more.
	private static void awaitFullBuffer(Socket accepted) throws IOException {
		int previousBytes = -1;
		for (int bytes = 0; bytes == 0 || bytes > previousBytes; bytes = accepted.getInputStream().available()) {
			previousBytes = bytes;
			LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
		}
	}

	// Reading would make room for more bytes, so this only writes.
	private static void awaitReset(Socket accepted) throws IOException {
		long endNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		try {
			while (System.nanoTime() < endNanos) {
				accepted.getOutputStream().write('x');
				LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
			}
		}
		catch (SocketException ex) {
			return;
		}
		throw new AssertionError("not reset");
	}

	// Returns the number of bytes that are received after a reset that was seen by a
	// write.
	private static long readRest(Socket accepted) throws IOException {
		return accepted.getInputStream().readAllBytes().length;
	}

	// Returns the number of bytes received before the reset.
	private static long readUntilReset(Socket accepted) throws IOException {
		accepted.setSoTimeout((int) Duration.ofSeconds(10).toMillis());
		byte[] buffer = new byte[64 * 1_024];
		long receivedBytes = 0;
		try {
			for (int bytes = 0; bytes >= 0; bytes = accepted.getInputStream().read(buffer)) {
				receivedBytes += bytes;
			}
		}
		catch (SocketException ex) {
			return receivedBytes;
		}
		throw new AssertionError("not reset after %d bytes".formatted(receivedBytes));
	}

	private void request(byte[] body, Duration timeout, Optional<SendCondition> condition) {
		this.client.tell(new ReconnectingHttpClient.Request(HttpClientRequest.post("/path", body), timeout,
				ReconnectingHttpClient.ConnectionUse.ANY, condition, this.outcomes.getRef()));
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
		this.client.tell(new ReconnectingHttpClient.Request(request, timeout, ReconnectingHttpClient.ConnectionUse.ANY,
				Optional.empty(), this.outcomes.getRef()));
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
