package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Serves JSON over HTTP/1.1. A handler may answer later. Used by one thread. */
final class JsonServer {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int BACKLOG_CONNECTIONS = 512;

	private final HttpServer server;

	JsonServer(InetSocketAddress address, Executor executor, Handler handler) {
		try {
			this.server = HttpServer.create(address, BACKLOG_CONNECTIONS);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(executor);
		this.server.createContext("/", (exchange) -> {
			byte[] body = exchange.getRequestBody().readAllBytes();
			handler.onRequest(exchange, (body.length > 0) ? JSON.readTree(body) : JSON.createObjectNode());
		});
		this.server.start();
	}

	static void answer(HttpExchange exchange, int status, Object body) {
		try (exchange) {
			byte[] bytes = JSON.writeValueAsBytes(body);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (IOException ex) {
			// The caller has given the call up.
			exchange.close();
		}
	}

	/** Closes all connections at once. */
	void close() {
		this.server.stop(0);
	}

	/** Handles one request. */
	interface Handler {

		void onRequest(HttpExchange exchange, JsonNode body);

	}

}
