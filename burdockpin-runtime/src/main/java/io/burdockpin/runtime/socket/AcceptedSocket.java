package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.util.ByteString;

/**
 * Connection accepted by a {@link SocketTask}. Its methods may be called by any thread
 * and have no effect once the connection is closed.
 */
public final class AcceptedSocket {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Largest number of bytes that wait for a peer that does not read. */
	private static final long MAXIMUM_WAITING_BYTES = 4 * 1_024 * 1_024;

	private final SocketTask task;

	private final SocketChannel channel;

	/** Bytes that the system has not taken yet, in order. */
	private final Deque<ByteBuffer> waiting = new ArrayDeque<>();

	private long waitingBytes;

	private Consumer<SocketEvent> onEvent = (event) -> {
	};

	/** Present while the connection is open and its events are reported. */
	private Optional<SelectionKey> key = Optional.empty();

	private boolean closingAfterWrites;

	AcceptedSocket(SocketTask task, SocketChannel channel) {
		this.task = task;
		this.channel = channel;
	}

	/**
	 * Starts to report the events of this connection.
	 * @param onEvent called on the thread of the task; must not block
	 */
	public void open(Consumer<SocketEvent> onEvent) {
		this.task.tell(() -> {
			this.onEvent = onEvent;
			try {
				this.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
				this.key = Optional.of(this.task.register(this.channel, SelectionKey.OP_READ, this::onReady));
			}
			catch (IOException ex) {
				end(ex.getMessage());
			}
		});
	}

	/**
	 * Sends bytes after those of earlier calls. A connection whose peer does not read is
	 * closed once too many bytes wait.
	 * @param bytes the bytes
	 */
	public void write(ByteString bytes) {
		this.task.tell(() -> {
			if (this.channel.isOpen() && !this.closingAfterWrites) {
				bytes.getByteBuffers().forEach(this.waiting::add);
				this.waitingBytes += bytes.length();
				writeWaiting();
			}
		});
	}

	/** Closes the connection after the bytes of earlier calls. */
	public void close() {
		this.task.tell(() -> {
			this.closingAfterWrites = true;
			writeWaiting();
		});
	}

	/** Resets the connection; bytes that wait are dropped. */
	public void abort() {
		this.task.tell(() -> {
			if (this.channel.isOpen()) {
				try {
					this.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
					end("reset");
				}
				catch (IOException ex) {
					end(ex.getMessage());
				}
			}
		});
	}

	private void onReady() {
		SelectionKey ready = this.key.orElseThrow();
		try {
			if (ready.isReadable()) {
				read(ready);
			}
			if (ready.isValid() && ready.isWritable()) {
				writeWaiting();
			}
		}
		catch (RuntimeException ex) {
			// A connection that stays ready would keep the thread busy.
			end("internal error");
			throw ex;
		}
	}

	private void read(SelectionKey ready) {
		ByteBuffer buffer = this.task.readBuffer().clear();
		try {
			int readBytes = this.channel.read(buffer);
			if (readBytes > 0) {
				this.onEvent.accept(new SocketEvent.Received(ByteString.fromByteBuffer(buffer.flip())));
			}
			else if (readBytes < 0) {
				ready.interestOpsAnd(~SelectionKey.OP_READ);
				this.onEvent.accept(SocketEvent.PeerClosed.INSTANCE);
			}
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	private void writeWaiting() {
		if (!this.channel.isOpen()) {
			return;
		}
		try {
			while (!this.waiting.isEmpty()) {
				this.waitingBytes -= this.channel.write(this.waiting.peek());
				if (this.waiting.peek().hasRemaining()) {
					break;
				}
				this.waiting.remove();
			}
			if (this.waitingBytes > MAXIMUM_WAITING_BYTES) {
				logger.atWarning()
					.atMostEvery(1, TimeUnit.SECONDS)
					.log("Closed a connection whose peer does not read: %d bytes wait.", this.waitingBytes);
				end("the peer does not read");
			}
			else if (this.waiting.isEmpty() && this.closingAfterWrites) {
				end("closed");
			}
			else {
				reportWritable(!this.waiting.isEmpty());
			}
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	private void reportWritable(boolean report) {
		this.key.filter(SelectionKey::isValid)
			.ifPresent((open) -> open.interestOps(
					report ? open.interestOps() | SelectionKey.OP_WRITE : open.interestOps() & ~SelectionKey.OP_WRITE));
	}

	private void end(String reason) {
		String closedBy = reason;
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			closedBy = reason + ", then " + ex.getMessage();
		}
		this.waiting.clear();
		this.onEvent.accept(new SocketEvent.Closed(String.valueOf(closedBy)));
	}

}
