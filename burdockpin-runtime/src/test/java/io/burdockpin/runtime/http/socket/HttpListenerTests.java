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
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.google.common.truth.Truth;
import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of real clients to a listener. */
class HttpListenerTests {

	private static final int MAXIMUM_BODY_BYTES = 1_000;

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<HttpListener.Event> events = this.testKit.createTestProbe();

	private final Queue<Open> requests = new ConcurrentLinkedQueue<>();

	private final TestProbe<Open> arrivals = this.testKit.createTestProbe();

	private ActorRef listener;

	private InetSocketAddress address;

	@BeforeEach
	void start() {
		TestProbe<ActorRef> created = this.testKit.createTestProbe();
		this.testKit.spawn(Behaviors.setup((context) -> {
			created.getRef()
				.tell(Adapter.actorOf(context, HttpListener.props(new InetSocketAddress("127.0.0.1", 0),
						MAXIMUM_BODY_BYTES, this::open, this.events.getRef())));
			return Behaviors.empty();
		}));
		this.listener = created.receiveMessage();
		this.address = ((HttpListener.Event.Bound) this.events.receiveMessage()).address();
	}

	@AfterEach
	void stop() {
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
		Open open = this.arrivals.receiveMessage();
		Truth.assertThat(open.request().method()).isEqualTo("PUT");
		Truth.assertThat(open.request().path()).isEqualTo("/a b/c");
		Truth.assertThat(open.request().host()).isEqualTo("127.0.0.1");
		Truth.assertThat(open.request().header("x-name")).hasValue("value");
		Truth.assertThat(open.request().header("X-Other")).isEmpty();
		Truth.assertThat(new String(open.request().body(), StandardCharsets.UTF_8)).isEqualTo("{\"a\":1}");
		open.answer(HttpServerResponse.json(503, "{}".getBytes(StandardCharsets.UTF_8)).withHeader("Retry-After", "2"));
		Truth.assertThat(response.join().statusCode()).isEqualTo(503);
		Truth.assertThat(response.join().headers().firstValue("Retry-After")).hasValue("2");
		Truth.assertThat(response.join().body()).isEqualTo("{}");
	}

	/** Guards against a second request that is lost or answered before the first one. */
	@Test
	void requestsOfOneConnectionAreAnsweredInTurn() throws IOException {
		try (Socket client = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
			Open first = this.arrivals.receiveMessage();
			Truth.assertThat(first.request().path()).isEqualTo("/1");
			Truth.assertThat(this.requests).hasSize(1);
			first.answer(text("one"));
			Truth.assertThat(readUntil(client, "one")).startsWith("HTTP/1.1 200 OK\r\n");
			this.arrivals.receiveMessage().answer(text("two"));
			Truth.assertThat(readUntil(client, "two")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	/** Guards against a planned stop that cuts a request in flight. */
	@Test
	void aListenerThatEndsAnswersWhatIsOpenAndClosesTheRest() throws IOException {
		try (Socket idle = connect(); Socket busy = connect()) {
			send(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			Open open = this.arrivals.receiveMessage();
			this.listener.tell(HttpListener.Shutdown.INSTANCE, ActorRef.noSender());
			Truth.assertThat(idle.getInputStream().read()).isEqualTo(-1);
			open.answer(text("done"));
			String answer = readUntil(busy, "done");
			Truth.assertThat(answer).contains("\r\nConnection: close\r\n");
			Truth.assertThat(busy.getInputStream().read()).isEqualTo(-1);
			Truth.assertThat(this.events.receiveMessage()).isInstanceOf(HttpListener.Event.Closed.class);
		}
	}

	/** Guards against clients that wait for an answer that never comes. */
	@Test
	void aRequestWhoseHandlerFailsIsAnsweredOrEndsItsConnection() throws IOException {
		try (Socket client = connect(); Socket other = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			this.arrivals.receiveMessage().response().completeExceptionally(new IllegalStateException("planted"));
			Truth.assertThat(readUntil(client, "}")).startsWith("HTTP/1.1 500 ");
			send(client, "GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
			Truth.assertThat(endsWithoutAnswer(client)).isTrue();
			send(other, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
			this.arrivals.receiveMessage().answer(text("two"));
			Truth.assertThat(readUntil(other, "two")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aClientThatOnlyClosesItsSendingSideGetsTheAnswer() throws IOException {
		try (Socket client = connect()) {
			send(client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
			client.shutdownOutput();
			this.arrivals.receiveMessage().answer(text("late"));
			Truth.assertThat(readUntil(client, "late")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aClientThatAsksBeforeItSendsItsBodyIsToldToSendIt() throws IOException {
		try (Socket client = connect()) {
			send(client, "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
			Truth.assertThat(readUntil(client, "\r\n\r\n")).startsWith("HTTP/1.1 100 ");
			send(client, "{}");
			this.arrivals.receiveMessage().answer(text("done"));
			Truth.assertThat(readUntil(client, "done")).startsWith("HTTP/1.1 200 OK\r\n");
		}
	}

	@Test
	void aBodyThatIsTooLongIsRefusedAtOnce() throws IOException {
		assertRefused("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
	}

	/** Guards against a length that overflows and lets the body pass for a request. */
	@Test
	void aLengthOutOfRangeIsRefused() throws IOException {
		assertRefused("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4294967295\r\n\r\n");
		assertRefused("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n");
	}

	@Test
	void bytesThatAreNoRequestAreRefused() throws IOException {
		assertRefused("hello\r\n\r\n");
	}

	private void assertRefused(String bytes) throws IOException {
		try (Socket client = connect()) {
			send(client, bytes);
			Truth.assertThat(readUntil(client, "}")).startsWith("HTTP/1.1 400 ");
			Truth.assertThat(client.getInputStream().read()).isEqualTo(-1);
			Truth.assertThat(this.requests).isEmpty();
		}
	}

	private CompletionStage<HttpServerResponse> open(HttpServerRequest request) {
		if (request.path().equals("/throws")) {
			throw new IllegalStateException("planted");
		}
		Open open = new Open(request, new CompletableFuture<>());
		this.requests.add(open);
		this.arrivals.getRef().tell(open);
		return open.response();
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

	private static boolean endsWithoutAnswer(Socket client) throws IOException {
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
	private record Open(HttpServerRequest request, CompletableFuture<HttpServerResponse> response) {

		private void answer(HttpServerResponse answer) {
			this.response.complete(answer);
		}

	}

}
