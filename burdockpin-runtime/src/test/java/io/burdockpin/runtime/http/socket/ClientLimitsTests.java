package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.socket.ReceiveLimits;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that exceed the limits of a listener, over TCP connections. */
class ClientLimitsTests {

	private static final int BODY_BYTES = 16 * 1_024;

	private static final int RESPONSE_BYTES = 64 * 1_024;

	private static final int CONNECTIONS = 8;

	private static final ClientLimits LIMITS = new ClientLimits(
			new MessageLimits(1_024, 20, BODY_BYTES, 10 * BODY_BYTES, 64),
			new ReceiveLimits(3 * BODY_BYTES, CONNECTIONS, 800, 800, 1_000, 1_500));

	private static final String POST = "POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";

	private final ActorTestKit testKit = ActorTestKit.create();

	private final SocketTask sockets = new SocketTask();

	private final CompletableFuture<HttpServerResponse> late = new CompletableFuture<>();

	private InetSocketAddress address;

	@BeforeEach
	void start() {
		this.sockets.start();
		TestProbe<HttpListener.Event> events = this.testKit.createTestProbe();
		this.testKit.spawn(Behaviors.setup((context) -> {
			Adapter.actorOf(context, HttpListener.props(this.sockets, new InetSocketAddress("127.0.0.1", 0), LIMITS,
					this::onRequest, events.getRef()));
			return Behaviors.empty();
		}));
		this.address = ((HttpListener.Event.Bound) events.receiveMessage()).address();
	}

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
		this.sockets.stop();
	}

	@Test
	void aHeaderSectionThatIsTooLongIsRejected() throws IOException {
		assertRejected(431, "GET / HTTP/1.1\r\nX-Field: " + "x".repeat(1_024) + "\r\n\r\n");
	}

	@Test
	void aHeaderSectionWithoutEndIsRejected() throws IOException {
		assertRejected(431, "GET / HTTP/1.1\r\n" + "X-Field: x\r\n".repeat(200));
	}

	@Test
	void emptyLinesWithoutEndAreRejected() throws IOException {
		assertRejected(400, "\r\n".repeat(100));
	}

	@Test
	void aHeaderSectionThatIsNotCompleteInTimeIsRejected() throws IOException {
		assertRejected(408, "GET / HTTP/1.1\r\nX-Field:");
	}

	@Test
	void aBodyThatStopsShortOfItsEndIsRejected() throws IOException {
		assertRejected(408, POST + "x".repeat(BODY_BYTES - 1));
	}

	@Test
	void aConnectionWithoutARequestIsClosedWithoutAResponse() throws IOException {
		try (Socket client = connect()) {
			Truth.assertThat(readAll(client)).isEmpty();
		}
	}

	/** Guards against a time limit for requests that others cause to take long. */
	@Test
	void aRequestThatIsHandledForLongIsAnswered() throws IOException, InterruptedException {
		try (Socket client = connect()) {
			send(client, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
			Thread.sleep(2_500);
			this.late.complete(HttpServerResponse.json(200, "late".getBytes(StandardCharsets.US_ASCII)));
			Truth.assertThat(readUntil(client, "late")).startsWith("HTTP/1.1 200 ");
		}
	}

	/**
	 * Guards against a request that is rejected at low load although it is within the
	 * limits.
	 */
	@Test
	void theLargestRequestIsServed() throws IOException {
		assertServed();
	}

	/**
	 * Guards against memory that many bodies fill, each of which is within its limit.
	 */
	@Test
	void bodiesThatStopShortOfTheirEndAreRejectedForAnother() throws IOException {
		List<Socket> clients = new ArrayList<>();
		try {
			for (int i = 0; i < 6; i++) {
				Socket client = connect();
				clients.add(client);
				send(client, POST + "x".repeat(BODY_BYTES - 1));
				assertServed();
			}
			Truth.assertThat(readAll(clients.get(0))).startsWith("HTTP/1.1 503 ");
		}
		finally {
			closeAll(clients);
		}
	}

	/** Guards against connections without requests that keep callers out. */
	@Test
	void aCallerIsServedWhileConnectionsWithoutRequestsFillTheListener() throws IOException {
		List<Socket> clients = new ArrayList<>();
		try {
			for (int i = 0; i < 4 * CONNECTIONS; i++) {
				clients.add(connect());
				assertServed();
			}
		}
		finally {
			closeAll(clients);
		}
	}

	/** Guards against responses that a client never reads and that fill the memory. */
	@Test
	void aClientThatDoesNotReadItsResponsesIsDroppedForAnother() throws IOException {
		List<Socket> clients = new ArrayList<>();
		try {
			for (int i = 0; i < 4; i++) {
				Socket client = connect();
				clients.add(client);
				client.getOutputStream()
					.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200).getBytes(StandardCharsets.US_ASCII));
				assertServed();
			}
		}
		catch (SocketException ex) {
			// The listener may drop a client while it still sends.
			assertServed();
		}
		finally {
			closeAll(clients);
		}
	}

	@Test
	void pipelinedRequestsBeyondTheReadAheadAreAllServed() throws IOException {
		try (Socket client = connect()) {
			send(client, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
			send(client, (POST + "x".repeat(BODY_BYTES)).repeat(2));
			this.late.complete(HttpServerResponse.json(200, "late".getBytes(StandardCharsets.US_ASCII)));
			readUntil(client, "late");
			for (int i = 0; i < 2; i++) {
				Truth.assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200 ");
			}
		}
	}

	/**
	 * Guards against bytes that stay charged, so that the listener rejects all requests
	 * after some time.
	 */
	@ParameterizedTest
	@EnumSource
	void bytesAreCreditedHoweverTheConnectionEnds(End end) throws IOException {
		for (int i = 0; i < 20; i++) {
			try (Socket client = connect()) {
				end.apply(client, this.late);
			}
		}
		assertServed();
	}

	@Test
	void aListenerThatCannotHoldOneRequestIsRefused() {
		boolean refused = false;
		try {
			new ClientLimits(MessageLimits.DEFAULT.withBodyBytes(64 * 1_024),
					new ReceiveLimits(64 * 1_024, 1, 1_000, 1_000, 1, 1_000));
		}
		catch (InvalidValueException ex) {
			refused = true;
		}
		Truth.assertThat(refused).isTrue();
	}

	private CompletionStage<HttpServerResponse> onRequest(HttpServerRequest request) {
		if (request.path().equals("/late")) {
			return this.late;
		}
		byte[] text = request.path().equals("/large") ? new byte[RESPONSE_BYTES]
				: "served".getBytes(StandardCharsets.US_ASCII);
		return CompletableFuture.completedFuture(HttpServerResponse.json(200, text));
	}

	private void assertRejected(int status, String bytes) throws IOException {
		try (Socket client = connect()) {
			send(client, bytes);
			Truth.assertThat(readAll(client)).startsWith("HTTP/1.1 " + status + " ");
		}
		assertServed();
	}

	// Repeats a request that is rejected for the load of others, as callers do.
	private void assertServed() throws IOException {
		String response = "";
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
		while (!response.startsWith("HTTP/1.1 200 ") && System.nanoTime() < endNanos) {
			try (Socket client = connect()) {
				send(client, POST.replace("Host: h", "Host: h\r\nConnection: close") + "x".repeat(BODY_BYTES));
				response = readAll(client);
			}
			catch (SocketException ex) {
				response = "";
			}
		}
		Truth.assertThat(response).startsWith("HTTP/1.1 200 ");
	}

	private Socket connect() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	private static void send(Socket client, String bytes) throws IOException {
		client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readAll(Socket client) throws IOException {
		return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private static String readUntil(Socket client, String end) throws IOException {
		StringBuilder response = new StringBuilder();
		while (response.indexOf(end) < 0) {
			int next = client.getInputStream().read();
			Truth.assertWithMessage("%s", response).that(next).isNotEqualTo(-1);
			response.append((char) next);
		}
		return response.toString();
	}

	private static void closeAll(List<Socket> clients) throws IOException {
		for (Socket client : clients) {
			client.close();
		}
	}

	/** How the connection of a request with a large body ends. */
	enum End {

		/** The client closes it before the end of the body. */
		CLOSED_SHORT_OF_THE_END {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, POST + "x".repeat(BODY_BYTES - 1));
			}

		},

		/** The client resets it before the end of the body. */
		RESET {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, POST + "x".repeat(BODY_BYTES - 1));
				client.setSoLinger(true, 0);
			}

		},

		/** The client closes its sending side before the end of the body. */
		HALF_CLOSED {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, POST + "x".repeat(BODY_BYTES - 1));
				client.shutdownOutput();
				readAll(client);
			}

		},

		/** The request is answered. */
		ANSWERED {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, POST + "x".repeat(BODY_BYTES));
				readUntil(client, "served");
			}

		},

		/** The request is rejected after a part of it was received. */
		REJECTED {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3000\r\n" + "x".repeat(0x3000)
						+ "\r\nxyz\r\n");
				Truth.assertThat(readAll(client)).startsWith("HTTP/1.1 400 ");
			}

		},

		/** The client closes it while the request is handled. */
		CLOSED_WHILE_HANDLED {

			@Override
			void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException {
				send(client, POST.replace("/post", "/late") + "x".repeat(BODY_BYTES));
				client.shutdownOutput();
				late.completeAsync(() -> HttpServerResponse.json(200, new byte[0]),
						CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS));
			}

		};

		abstract void apply(Socket client, CompletableFuture<HttpServerResponse> late) throws IOException;

	}

}
