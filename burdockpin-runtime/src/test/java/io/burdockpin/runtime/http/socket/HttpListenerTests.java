package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.google.common.truth.Truth;
import io.burdockpin.runtime.socket.ReceiveLimits;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests to a listener over TCP connections. */
class HttpListenerTests {

	private static final ClientLimits LIMITS = new ClientLimits(MessageLimits.DEFAULT.withBodyBytes(1_000),
			ReceiveLimits.DEFAULT);

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<HttpListener.Event> events = this.testKit.createTestProbe();

	private final Queue<PendingRequest> requests = new ConcurrentLinkedQueue<>();

	private final TestProbe<PendingRequest> arrivals = this.testKit.createTestProbe();

	private final SocketTask sockets = new SocketTask();

	private ActorRef listener;

	private InetSocketAddress address;

	@BeforeEach
	void start() {
		this.sockets.start();
		startListener(new InetSocketAddress("127.0.0.1", 0));
	}

	private void startListener(InetSocketAddress requested) {
		TestProbe<ActorRef> created = this.testKit.createTestProbe();
		this.testKit.spawn(Behaviors.setup((context) -> {
			created.getRef()
				.tell(Adapter.actorOf(context,
						HttpListener.props(this.sockets, requested, LIMITS, this::onRequest, this.events.getRef())));
			return Behaviors.empty();
		}));
		this.listener = created.receiveMessage();
		this.address = ((HttpListener.Event.Bound) this.events.receiveMessage()).address();
	}

	@AfterEach
	void stop() {
		this.sockets.stop();
		this.testKit.shutdownTestKit();
	}

	@Test
	void aClientOfAnotherLibraryIsAnswered() throws IOException, InterruptedException {
		HttpClient client = HttpClient.newHttpClient();
		CompletableFuture<HttpResponse<String>> response = client
			.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.address.getPort() + "/a%20b/c?d=e"))
				.header("X-Name", "value")
				.PUT(HttpRequest.BodyPublishers.ofString("{\"a\":1}"))
				.build(), HttpResponse.BodyHandlers.ofString());
		PendingRequest pending = this.arrivals.receiveMessage();
		Truth.assertThat(pending.request().method()).isEqualTo("PUT");
		Truth.assertThat(pending.request().path()).isEqualTo("/a b/c");
		Truth.assertThat(pending.request().host()).isEqualTo("127.0.0.1");
		Truth.assertThat(pending.request().header("x-name")).hasValue("value");
		Truth.assertThat(pending.request().header("X-Other")).isEmpty();
		Truth.assertThat(new String(pending.request().body(), StandardCharsets.UTF_8)).isEqualTo("{\"a\":1}");
		pending
			.answer(HttpServerResponse.json(503, "{}".getBytes(StandardCharsets.UTF_8)).withHeader("Retry-After", "2"));
		Truth.assertThat(response.join().statusCode()).isEqualTo(503);
		Truth.assertThat(response.join().headers().firstValue("Retry-After")).hasValue("2");
		Truth.assertThat(response.join().body()).isEqualTo("{}");
	}

	/**
	 * Guards against a pipelined request that is lost or answered before the first one.
	 */
	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws IOException {
		try (Socket client = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
			PendingRequest first = this.arrivals.receiveMessage();
			Truth.assertThat(first.request().path()).isEqualTo("/1");
			Truth.assertThat(this.requests).hasSize(1);
			first.answer(text("one"));
			Truth.assertThat(readUntil(client, "one")).startsWith("HTTP/1.1 200 OK\r\n");
			this.arrivals.receiveMessage().answer(text("two"));
			Truth.assertThat(readUntil(client, "two")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	/**
	 * Guards against callers that are refused while a process starts, although it could
	 * serve them in time.
	 */
	@Test
	void aRequestSentBeforeTheListenerStartsIsAnswered() throws IOException {
		InetSocketAddress early = this.sockets.listen(new InetSocketAddress("127.0.0.1", 0)).address();
		try (Socket client = new Socket(early.getAddress(), early.getPort())) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			startListener(early);
			this.arrivals.receiveMessage().answer(text("served"));
			Truth.assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	/** Guards against work for callers that gave up while the process started. */
	@Test
	void requestsOfClientsThatResetTheirConnectionsBeforeTheListenerStartsAreNotHandled() throws IOException {
		InetSocketAddress early = this.sockets.listen(new InetSocketAddress("127.0.0.1", 0)).address();
		for (int client = 0; client < 20; client++) {
			try (Socket gone = new Socket(early.getAddress(), early.getPort())) {
				send(gone, "GET /gone HTTP/1.1\r\nHost: h\r\n\r\n");
				gone.setSoLinger(true, 0);
			}
		}
		try (Socket waiting = new Socket(early.getAddress(), early.getPort())) {
			send(waiting, "GET /waiting HTTP/1.1\r\nHost: h\r\n\r\n");
			startListener(early);
			PendingRequest first = this.arrivals.receiveMessage();
			Truth.assertThat(first.request().path()).isEqualTo("/waiting");
			first.answer(text("served"));
			Truth.assertThat(readUntil(waiting, "served")).startsWith("HTTP/1.1 200 OK\r\n");
			Truth.assertThat(this.requests).hasSize(1);
		}
	}

	/** Guards against a half-closed connection that is taken for an abandoned one. */
	@Test
	void aClientThatClosesItsSendingSideBeforeTheListenerStartsGetsTheResponse() throws IOException {
		InetSocketAddress early = this.sockets.listen(new InetSocketAddress("127.0.0.1", 0)).address();
		try (Socket client = new Socket(early.getAddress(), early.getPort())) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			client.shutdownOutput();
			startListener(early);
			this.arrivals.receiveMessage().answer(text("served"));
			Truth.assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200 OK\r\n");
			Truth.assertThat(client.getInputStream().read()).isEqualTo(-1);
		}
	}

	/** Guards against requests that are cut off where the early reading has stopped. */
	@Test
	void longRequestsSentBeforeTheListenerStartsAreReceivedCompletely() throws IOException {
		InetSocketAddress early = this.sockets.listen(new InetSocketAddress("127.0.0.1", 0)).address();
		try (Socket client = new Socket(early.getAddress(), early.getPort())) {
			String padding = "X-Padding: %s\r\n".formatted("x".repeat(4_900)).repeat(3);
			send(client, "POST /1 HTTP/1.1\r\nHost: h\r\n%sContent-Length: 2\r\n\r\n{}".formatted(padding));
			send(client, "POST /2 HTTP/1.1\r\nHost: h\r\n%sContent-Length: 2\r\n\r\n{}".formatted(padding));
			startListener(early);
			for (String path : List.of("/1", "/2")) {
				PendingRequest next = this.arrivals.receiveMessage();
				Truth.assertThat(next.request().path()).isEqualTo(path);
				Truth.assertThat(new String(next.request().body(), StandardCharsets.US_ASCII)).isEqualTo("{}");
				next.answer(text("served"));
				Truth.assertThat(readUntil(client, "served")).startsWith("HTTP/1.1 200 OK\r\n");
			}
		}
	}

	/** Guards against a graceful stop that aborts a request in flight. */
	@Test
	void aListenerThatShutsDownAnswersOpenRequestsAndClosesIdleConnections() throws IOException {
		// The listener tells its connections in the order in which it has accepted them,
		// so
		// that the end of a later one shows that the busy one was told.
		try (Socket busy = connect(); Socket unused = connect(); Socket idle = connect()) {
			send(idle, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n");
			this.arrivals.receiveMessage().answer(text("zero"));
			Truth.assertThat(readUntil(idle, "zero")).startsWith("HTTP/1.1 200 OK\r\n");
			send(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			PendingRequest pending = this.arrivals.receiveMessage();
			this.listener.tell(HttpListener.Shutdown.INSTANCE, ActorRef.noSender());
			// The listener resets a connection that it has not accepted yet.
			Truth.assertThat(closesWithoutResponse(unused)).isTrue();
			Truth.assertThat(idle.getInputStream().read()).isEqualTo(-1);
			pending.answer(text("done"));
			String response = readUntil(busy, "done");
			Truth.assertThat(response).contains("\r\nConnection: close\r\n");
			Truth.assertThat(busy.getInputStream().read()).isEqualTo(-1);
			Truth.assertThat(this.events.receiveMessage()).isInstanceOf(HttpListener.Event.Closed.class);
		}
	}

	/** Guards against clients that wait for a response that is never sent. */
	@Test
	void aRequestWhoseHandlerFailsIsAnsweredOrItsConnectionIsClosed() throws IOException {
		try (Socket client = connect(); Socket other = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			this.arrivals.receiveMessage().response().completeExceptionally(new IllegalStateException("injected"));
			Truth.assertThat(readUntil(client, "}")).startsWith("HTTP/1.1 500 ");
			send(client, "GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
			Truth.assertThat(closesWithoutResponse(client)).isTrue();
			send(other, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
			this.arrivals.receiveMessage().answer(text("two"));
			Truth.assertThat(readUntil(other, "two")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aClientThatOnlyClosesItsSendingSideGetsTheResponse() throws IOException {
		try (Socket client = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			client.shutdownOutput();
			this.arrivals.receiveMessage().answer(text("late"));
			Truth.assertThat(readUntil(client, "late")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aClientThatExpectsContinueIsToldToSendItsBody() throws IOException {
		try (Socket client = connect()) {
			send(client, "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
			Truth.assertThat(readUntil(client, "\r\n\r\n")).startsWith("HTTP/1.1 100 ");
			send(client, "{}");
			this.arrivals.receiveMessage().answer(text("done"));
			Truth.assertThat(readUntil(client, "done")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aBodyThatIsTooLongIsRejectedBeforeItIsReceived() throws IOException {
		assertRejected(413, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
	}

	/**
	 * Guards against a length that overflows, so that the body is parsed as a request.
	 */
	@Test
	void aLengthOutOfRangeIsRejected() throws IOException {
		assertRejected(413, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4294967295\r\n\r\n");
		assertRejected(400, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n");
	}

	@Test
	void malformedRequestsAreRejected() throws IOException {
		assertRejected(400, "hello\r\n\r\n");
	}

	private void assertRejected(int status, String bytes) throws IOException {
		try (Socket client = connect()) {
			send(client, bytes);
			Truth.assertThat(readUntil(client, "}")).startsWith("HTTP/1.1 " + status + " ");
			Truth.assertThat(client.getInputStream().read()).isEqualTo(-1);
			Truth.assertThat(this.requests).isEmpty();
		}
	}

	private CompletionStage<HttpServerResponse> onRequest(HttpServerRequest request) {
		if (request.path().equals("/throws")) {
			throw new IllegalStateException("injected");
		}
		PendingRequest pending = new PendingRequest(request, new CompletableFuture<>());
		this.requests.add(pending);
		this.arrivals.getRef().tell(pending);
		return pending.response();
	}

	private Socket connect() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	private static HttpServerResponse text(String text) {
		return HttpServerResponse.json(200, text.getBytes(StandardCharsets.UTF_8));
	}

	private static void send(Socket client, String text) throws IOException {
		client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		client.getOutputStream().flush();
	}

	private static boolean closesWithoutResponse(Socket client) throws IOException {
		try {
			return client.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			// The connection was reset.
			return true;
		}
	}

	private static String readUntil(Socket client, String end) throws IOException {
		StringBuilder received = new StringBuilder();
		while (!received.toString().endsWith(end)) {
			int next = client.getInputStream().read();
			if (next < 0) {
				throw new IOException("the connection ended after: " + received);
			}
			received.append((char) next);
		}
		return received.toString();
	}

	/** A request that waits for the test to answer it. */
	private record PendingRequest(HttpServerRequest request, CompletableFuture<HttpServerResponse> response) {

		private void answer(HttpServerResponse answer) {
			this.response.complete(answer);
		}

	}

}
