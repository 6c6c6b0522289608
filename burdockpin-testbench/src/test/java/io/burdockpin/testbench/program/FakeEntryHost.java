package io.burdockpin.testbench.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Answers every announcement with one document and keeps the announcements. */
public final class FakeEntryHost implements AutoCloseable {

	private final ObjectMapper mapper = new ObjectMapper();

	private final BlockingQueue<JsonNode> announcements = new LinkedBlockingQueue<>();

	private final HttpServer server;

	private volatile String reply;

	public FakeEntryHost(String reply) throws IOException {
		this.reply = reply;
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	public void replyWith(String newReply) {
		this.reply = newReply;
	}

	public EndPoint address() {
		return new EndPoint("127.0.0.1", this.server.getAddress().getPort());
	}

	public JsonNode nextAnnouncement() throws InterruptedException {
		JsonNode next = this.announcements.poll(20, TimeUnit.SECONDS);
		if (next == null) {
			throw new AssertionError("no announcement came within 20 s");
		}
		return next;
	}

	public JsonNode awaitAnnouncement(Predicate<JsonNode> condition) throws InterruptedException {
		JsonNode next = nextAnnouncement();
		while (!condition.test(next)) {
			next = nextAnnouncement();
		}
		return next;
	}

	public static EndPoint freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return new EndPoint("127.0.0.1", socket.getLocalPort());
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			boolean announcement = exchange.getRequestURI().getPath().endsWith("/announce");
			byte[] answer = announcement ? this.reply.getBytes(StandardCharsets.UTF_8) : body;
			if (announcement) {
				this.announcements.add(this.mapper.readTree(body));
			}
			exchange.sendResponseHeaders(200, answer.length);
			exchange.getResponseBody().write(answer);
		}
	}

}
