package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Clients that send their scripts in turn, piece by piece, and keep their connections
 * open. A client whose connection is closed opens another one and begins again, a few
 * times. Used by one thread.
 */
final class LoadClients implements AutoCloseable {

	/** Times that a client begins again; a server that drops it is put to more load. */
	private static final int RECONNECTIONS = 3;

	private static final long PAUSE_MILLIS = 5;

	/** The load ends once no byte could be sent for this time. */
	private static final long STALLED_MILLIS = 2_000;

	private static final long LONGEST_MILLIS = 30_000;

	private final InetSocketAddress server;

	private final List<Client> clients;

	LoadClients(InetSocketAddress server, int count, ClientLoad load, LoadTarget target) {
		this.server = server;
		this.clients = IntStream.range(0, count).mapToObj((client) -> new Client(load.script(client, target))).toList();
	}

	/**
	 * Sends until all scripts are at their end, or the server accepts nothing more.
	 * @param observer called now and then
	 */
	void run(Runnable observer) {
		long startNanos = System.nanoTime();
		long lastSentNanos = startNanos;
		while (this.clients.stream().anyMatch(Client::isSending) && millisSince(lastSentNanos) < STALLED_MILLIS
				&& millisSince(startNanos) < LONGEST_MILLIS) {
			long sentBytes = this.clients.stream().mapToLong(Client::step).sum();
			observer.run();
			if (sentBytes > 0) {
				lastSentNanos = System.nanoTime();
			}
			else {
				pause();
			}
		}
	}

	long sentBytes() {
		return this.clients.stream().mapToLong((client) -> client.allBytes).sum();
	}

	long openConnections() {
		return this.clients.stream().filter((client) -> client.channel.isPresent()).count();
	}

	@Override
	public void close() {
		this.clients.forEach(Client::close);
	}

	private static long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** One client with one connection at a time. */
	private final class Client {

		private final RequestScript script;

		private final ByteBuffer answer = ByteBuffer.allocate(1_024);

		private Optional<SocketChannel> channel = Optional.empty();

		private int connections;

		private long position;

		private long allBytes;

		private Client(RequestScript script) {
			this.script = script;
		}

		private boolean isSending() {
			return this.channel.isPresent() ? this.position < this.script.totalBytes()
					: this.connections <= RECONNECTIONS;
		}

		// Returns the number of bytes that were sent.
		private long step() {
			try {
				if (this.channel.isEmpty() && this.connections <= RECONNECTIONS) {
					connect();
				}
				return this.channel.isPresent() ? exchange(this.channel.get()) : 0;
			}
			catch (IOException ex) {
				// The server has dropped the connection, or has ended.
				close();
				return 0;
			}
		}

		private void connect() throws IOException {
			this.connections++;
			this.position = 0;
			SocketChannel opened = SocketChannel.open();
			this.channel = Optional.of(opened);
			opened.connect(LoadClients.this.server);
			opened.setOption(StandardSocketOptions.TCP_NODELAY, true);
			opened.configureBlocking(false);
		}

		private long exchange(SocketChannel open) throws IOException {
			if (open.read(this.answer.clear()) < 0) {
				close();
				return 0;
			}
			long written = open.write(this.script.piece(this.position));
			this.position += written;
			this.allBytes += written;
			return written;
		}

		private void close() {
			try {
				if (this.channel.isPresent()) {
					this.channel.get().close();
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
			this.channel = Optional.empty();
		}

	}

}
