package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Server that accepts one connection and does not read from it, so that the system of the
 * client holds most of a request. The queues of the system are those of Linux.
 */
final class UnreadingPeer implements AutoCloseable {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

	/** Limits a test that would otherwise hang. */
	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(100);

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private final ServerSocket listening = new ServerSocket();

	private Optional<Socket> accepted = Optional.empty();

	UnreadingPeer() throws IOException {
		this.listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	int port() {
		return this.listening.getLocalPort();
	}

	/**
	 * Accepts the connection and waits until the client has written all its bytes.
	 * @param writtenBytes the bytes that the client writes
	 * @return the bytes that this peer has received but not read
	 * @throws IOException if the connection ends
	 */
	int acceptAndAwaitWritten(int writtenBytes) throws IOException {
		Socket connection = this.listening.accept();
		this.accepted = Optional.of(connection);
		long endNanos = System.nanoTime() + TEST_TIMEOUT.toNanos();
		while (System.nanoTime() < endNanos) {
			int receivedBytes = connection.getInputStream().available();
			if (receivedBytes + clientQueueBytes() == writtenBytes) {
				return receivedBytes;
			}
			LockSupport.parkNanos(POLL_INTERVAL.toNanos());
		}
		throw new AssertionError("the client has not written %d bytes: %d received, %d waiting".formatted(writtenBytes,
				connection.getInputStream().available(), clientQueueBytes()));
	}

	/**
	 * Returns how much the system would still send for the client.
	 * @return the bytes that this peer has not acknowledged; 0 if the system no longer
	 * has the connection
	 * @throws IOException if the table of connections cannot be read
	 */
	int clientQueueBytes() throws IOException {
		String clientPort = ":%04X".formatted(this.accepted.orElseThrow().getPort());
		String peerPort = ":%04X".formatted(port());
		int queuedBytes = 0;
		for (String table : new String[] { "/proc/net/tcp", "/proc/net/tcp6" }) {
			try (Stream<String> lines = Files.lines(Path.of(table))) {
				queuedBytes += lines.map((line) -> line.trim().toUpperCase(Locale.ROOT).split("\\s+"))
					.filter((fields) -> fields[1].endsWith(clientPort) && fields[2].endsWith(peerPort))
					.mapToInt((fields) -> Integer.parseInt(fields[4].substring(0, fields[4].indexOf(':')), 16))
					.sum();
			}
		}
		return queuedBytes;
	}

	/**
	 * Waits until the connection is reset. Reading would make room for more bytes, so
	 * this only writes.
	 * @throws IOException if this peer is closed
	 */
	void awaitReset() throws IOException {
		Socket connection = this.accepted.orElseThrow();
		long endNanos = System.nanoTime() + TEST_TIMEOUT.toNanos();
		try {
			while (System.nanoTime() < endNanos) {
				connection.getOutputStream().write('x');
				LockSupport.parkNanos(POLL_INTERVAL.toNanos());
			}
		}
		catch (SocketException ex) {
			return;
		}
		throw new AssertionError("not reset");
	}

	/**
	 * Reads until the connection ends.
	 * @return the bytes that were read
	 * @throws IOException if no end is reached
	 */
	int readToEnd() throws IOException {
		InputStream input = this.accepted.orElseThrow().getInputStream();
		byte[] buffer = new byte[1_024];
		int readBytes = 0;
		try {
			for (int bytes = input.read(buffer); bytes >= 0; bytes = input.read(buffer)) {
				readBytes += bytes;
			}
		}
		catch (SocketException ex) {
			// Reset by the client, after the bytes that had been received.
		}
		return readBytes;
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		if (this.accepted.isPresent()) {
			this.accepted.get().close();
		}
	}

}
