package io.burdockpin.entry.fake;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import javax.net.ServerSocketFactory;

/** A runner whose answers the test writes itself, so that they may be invalid. */
public final class FakeRunner implements AutoCloseable {

	private final ServerSocket listener;

	private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

	private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();

	private final AtomicInteger connectionCount = new AtomicInteger();

	public FakeRunner(String ip) {
		this(ip, ServerSocketFactory.getDefault());
	}

	public FakeRunner(String ip, ServerSocketFactory sockets) {
		try {
			this.listener = sockets.createServerSocket(0, 50, InetAddress.getByName(ip));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		start(this::accept);
	}

	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	public Call awaitCall() {
		return TestSupport.poll(this.calls);
	}

	public int pendingCallCount() {
		return this.calls.size();
	}

	/** Returns the number of connections accepted since the start. */
	public int connectionCount() {
		return this.connectionCount.get();
	}

	/** Waits until the entry host closes a connection. */
	public void awaitConnectionClosed() {
		TestSupport.poll(this.closedConnections);
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				this.connectionCount.incrementAndGet();
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				// Thrown when the test closes the listener, which ends the loop.
			}
		}
	}

	private void serve(Socket socket) {
		try {
			while (true) {
				this.calls.add(read(socket));
			}
		}
		catch (IOException ex) {
			this.closedConnections.add(socket);
		}
	}

	private static void start(Runnable loop) {
		Thread thread = new Thread(loop, "fake-runner");
		thread.setDaemon(true);
		thread.start();
	}

	private static Call read(Socket socket) throws IOException {
		InputStream input = socket.getInputStream();
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("the request was cut short");
			}
			head.write(next);
		}
		Map<String, String> headers = new HashMap<>();
		for (String line : head.toString(StandardCharsets.ISO_8859_1).split("\r\n")) {
			int colon = line.indexOf(": ");
			if (colon > 0) {
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
			}
		}
		byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		return new Call(socket, headers, new String(body, StandardCharsets.UTF_8));
	}

	/**
	 * One request to the runner.
	 *
	 * @param socket the connection of the request
	 * @param headers values by header name in lower case
	 * @param body request body as UTF-8 text
	 */
	public record Call(Socket socket, Map<String, String> headers, String body) {

		public String attempt() {
			return this.headers.get("burdock-attempt");
		}

		public void answer(String content) {
			answer(200, attempt(), content.length(), content);
		}

		/** Writes an answer whose declared length may differ from its content. */
		public void answer(int status, String attempt, int declaredLength, String content) {
			write("HTTP/1.1 " + status + " Status\r\nContent-Type: text/plain; charset=UTF-8\r\nBurdock-Attempt: "
					+ attempt + "\r\nContent-Length: " + declaredLength + "\r\n\r\n" + content);
		}

		public void refuseBeforeStart() {
			write("HTTP/1.1 503 Busy\r\nBurdock-Not-Run: true\r\nBurdock-Attempt: " + attempt()
					+ "\r\nContent-Length: 0\r\n\r\n");
		}

		public void closeConnection() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		public void write(String text) {
			try {
				this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
				this.socket.getOutputStream().flush();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
