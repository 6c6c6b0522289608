package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.util.ByteString;

/**
 * Connection owned by a {@link SocketTask}. Its public methods may be called by any
 * thread and have no effect once the connection is closed.
 */
public abstract sealed class ConnectionSocketBase permits AcceptedSocket, OutgoingSocket {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Largest number of bytes that wait for a peer that does not read. */
	private static final long MAXIMUM_WAITING_BYTES = 4 * 1_024 * 1_024;

	private static final BooleanSupplier ALWAYS = () -> true;

	private final SocketTask task;

	private final SocketChannel channel;

	/** Messages that the system has not taken completely, in order. */
	private final Deque<Message> waiting = new ArrayDeque<>();

	private long waitingBytes;

	private Consumer<SocketEvent> onEvent = (event) -> {
	};

	/** Present while the connection is open and its events are reported. */
	private Optional<SelectionKey> key = Optional.empty();

	private boolean closingAfterWrites;

	/** Whether the peer has closed its sending side. */
	private boolean inputEnded;

	ConnectionSocketBase(SocketTask task, SocketChannel channel) {
		this.task = task;
		this.channel = channel;
	}

	/**
	 * Starts to report the events of this connection.
	 * @param onEvent called on the thread of the task; must not block
	 */
	public void open(Consumer<SocketEvent> onEvent) {
		this.task.tell(() -> endOnError(() -> {
			try {
				begin(onEvent);
			}
			catch (IOException ex) {
				end(ex.getMessage());
			}
		}));
	}

	/**
	 * Sends bytes after those of earlier calls. A connection whose peer does not read is
	 * closed once too many bytes wait.
	 * @param bytes the bytes
	 */
	public void write(ByteString bytes) {
		write(bytes, ALWAYS);
	}

	/**
	 * Sends bytes after those of earlier calls, as long as a condition holds. If it ends
	 * before the first byte was written, nothing is written and
	 * {@link SocketEvent.NotWritten} is reported; if it ends later, the connection is
	 * reset.
	 * @param bytes the bytes
	 * @param condition called on the thread of the task, immediately before each write;
	 * must not block
	 */
	public void write(ByteString bytes, BooleanSupplier condition) {
		this.task.tell(() -> writeNow(bytes, condition));
	}

	/** Closes the connection after the bytes of earlier calls. */
	public void close() {
		this.task.tell(this::closeAfterWrites);
	}

	/**
	 * Resets the connection; bytes that wait, here or in the system, are dropped.
	 */
	public void abort() {
		this.task.tell(() -> resetNow("reset"));
	}

	// for the kinds of connections, on the thread of the task

	/**
	 * Begins to report events, by {@link #reportTo} and {@link #register}.
	 * @param receiver receives the events
	 * @throws IOException if the connection cannot be used
	 */
	abstract void begin(Consumer<SocketEvent> receiver) throws IOException;

	/** Handles that the system has completed a connection attempt, or given it up. */
	abstract void onConnectable();

	/**
	 * Returns whether the connection may be read now.
	 * @return {@code false} if reading has to wait
	 */
	boolean mayRead() {
		return true;
	}

	/**
	 * Handles received bytes.
	 * @param bytes the bytes, in a buffer that is used again
	 * @param nowNanos when they were read, by {@link System#nanoTime}
	 */
	void onBytes(ByteBuffer bytes, long nowNanos) {
		report(new SocketEvent.Received(ByteString.fromByteBuffer(bytes), nowNanos));
	}

	/**
	 * Handles a change of the bytes that the peer has not taken.
	 * @param bytes number of bytes
	 */
	void onWaitingBytes(long bytes) {
	}

	/** Handles that all bytes before {@link #close} were written. */
	void onAllWritten() {
		end("closed");
	}

	/** Handles that this connection was closed, before that is reported. */
	void onEnded() {
	}

	/** Handles that the peer has closed its sending side. */
	void onInputEnded() {
		report(SocketEvent.PeerClosed.INSTANCE);
	}

	final void writeNow(ByteString bytes) {
		writeNow(bytes, ALWAYS);
	}

	final void closeAfterWrites() {
		this.closingAfterWrites = true;
		endOnError(this::writeWaiting);
	}

	final boolean isInputEnded() {
		return this.inputEnded;
	}

	/** Closes the sending side, so that the peer reads to the end. */
	final void shutDownOutput() {
		try {
			this.channel.shutdownOutput();
			reportWritable(false);
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	final SocketTask task() {
		return this.task;
	}

	final SocketChannel channel() {
		return this.channel;
	}

	final void register(int operations) throws IOException {
		this.key = Optional.of(this.task.register(this.channel, operations, () -> endOnError(this::onReady)));
	}

	final void reportTo(Consumer<SocketEvent> receiver) {
		this.onEvent = receiver;
	}

	final void report(SocketEvent event) {
		this.onEvent.accept(event);
	}

	final void readAndWrite() {
		this.key.filter(SelectionKey::isValid).ifPresent((open) -> open.interestOps(SelectionKey.OP_READ));
		writeWaiting();
	}

	/** Stops to read, so that further bytes wait in the system. */
	final void pauseReading() {
		this.key.filter(SelectionKey::isValid).ifPresent((open) -> open.interestOpsAnd(~SelectionKey.OP_READ));
	}

	/** Continues to read after {@link #pauseReading}. */
	final void resumeReading() {
		this.key.filter((open) -> !this.inputEnded)
			.filter(SelectionKey::isValid)
			.ifPresent((open) -> open.interestOpsOr(SelectionKey.OP_READ));
	}

	/**
	 * Reads once, unless reading is paused or the peer has closed its sending side.
	 * @return whether bytes were received
	 */
	final boolean readOnce() {
		return this.key.filter(SelectionKey::isValid)
			.filter((open) -> (open.interestOps() & SelectionKey.OP_READ) != 0)
			.filter((open) -> mayRead() && read(open))
			.isPresent();
	}

	final void end(String reason) {
		end(new SocketEvent.Closed(String.valueOf(reason)));
	}

	final void end(SocketEvent lastEvent) {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("Cannot close a connection.");
		}
		this.waiting.clear();
		this.waitingBytes = 0;
		onWaitingBytes(0);
		onEnded();
		report(lastEvent);
	}

	// helpers

	private void onReady() {
		SelectionKey ready = this.key.orElseThrow();
		if (ready.isConnectable()) {
			onConnectable();
		}
		if (ready.isValid() && ready.isReadable()) {
			// A message of the same step may have read to the end already.
			readOnce();
		}
		if (ready.isValid() && ready.isWritable()) {
			writeWaiting();
		}
	}

	// A connection that stays ready would keep the thread busy.
	private void endOnError(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			if (this.channel.isOpen()) {
				end("internal error");
			}
			throw ex;
		}
	}

	// Returns whether bytes were received.
	private boolean read(SelectionKey ready) {
		ByteBuffer buffer = this.task.readBuffer().clear();
		try {
			int readBytes = this.channel.read(buffer);
			if (readBytes > 0) {
				onBytes(buffer.flip(), System.nanoTime());
			}
			else if (readBytes < 0) {
				ready.interestOpsAnd(~SelectionKey.OP_READ);
				this.inputEnded = true;
				onInputEnded();
			}
			return readBytes > 0;
		}
		catch (IOException ex) {
			end(ex.getMessage());
			return false;
		}
	}

	private void writeNow(ByteString bytes, BooleanSupplier condition) {
		if (this.channel.isOpen() && !this.closingAfterWrites) {
			this.waiting.add(new Message(bytes, condition));
			this.waitingBytes += bytes.length();
			endOnError(this::writeWaiting);
		}
	}

	private void writeWaiting() {
		try {
			while (this.channel.isConnected() && !this.waiting.isEmpty() && writeFirst(this.waiting.peek())) {
				this.waiting.remove();
			}
			if (this.channel.isOpen() && this.channel.isConnected()) {
				onWaitingBytes(this.waitingBytes);
			}
			if (this.channel.isOpen() && this.channel.isConnected()) {
				closeOrAwaitWritable();
			}
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	// Returns whether the message is done with, so that the next one may be written.
	private boolean writeFirst(Message first) throws IOException {
		if (first.condition.getAsBoolean()) {
			this.waitingBytes -= first.write(this.channel);
			return first.remainingBytes == 0;
		}
		if (first.remainingBytes < first.bytes) {
			resetNow("the condition of a message ended while it was written");
			return false;
		}
		this.waitingBytes -= first.bytes;
		report(SocketEvent.NotWritten.INSTANCE);
		return true;
	}

	private void closeOrAwaitWritable() {
		if (this.waitingBytes > MAXIMUM_WAITING_BYTES) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("Closed a connection whose peer does not read: %d bytes wait.", this.waitingBytes);
			end("the peer does not read");
		}
		else if (this.waiting.isEmpty() && this.closingAfterWrites) {
			onAllWritten();
		}
		else {
			reportWritable(!this.waiting.isEmpty());
		}
	}

	private void reportWritable(boolean report) {
		this.key.filter(SelectionKey::isValid)
			.ifPresent((open) -> open.interestOps(
					report ? open.interestOps() | SelectionKey.OP_WRITE : open.interestOps() & ~SelectionKey.OP_WRITE));
	}

	final void resetNow(String reason) {
		if (this.channel.isOpen()) {
			try {
				this.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
				end(reason);
			}
			catch (IOException ex) {
				end(ex.getMessage());
			}
		}
	}

	/** Bytes that are written together, as long as their condition holds. */
	private static final class Message {

		private final ByteBuffer[] buffers;

		private final long bytes;

		private final BooleanSupplier condition;

		private long remainingBytes;

		private Message(ByteString bytes, BooleanSupplier condition) {
			List<ByteBuffer> parts = new ArrayList<>();
			bytes.getByteBuffers().forEach(parts::add);
			this.buffers = parts.toArray(ByteBuffer[]::new);
			this.bytes = bytes.length();
			this.remainingBytes = this.bytes;
			this.condition = condition;
		}

		private long write(SocketChannel channel) throws IOException {
			long writtenBytes = channel.write(this.buffers);
			this.remainingBytes -= writtenBytes;
			return writtenBytes;
		}

	}

}
