package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.pekko.util.ByteString;

/**
 * Connection accepted by a {@link SocketTask}. It receives from then on, so that the time
 * for which a request waits until the connection is opened is known, and so is the end of
 * a connection that its peer resets meanwhile.
 * <p>
 * The bytes that it holds are charged to its listener as they arrive. The owner credits
 * them with {@link #respond}, {@link #reject} and {@link #release}, and all that is left
 * with {@link #abort}, which it also has to call after the connection has closed.
 */
public final class AcceptedSocket extends ConnectionSocketBase {

	/** Many connections may wait while a process starts, whose memory is small. */
	private static final int MAXIMUM_EARLY_BYTES = 16 * 1_024;

	/** Bytes of later requests that are received before a response. */
	private static final int MAXIMUM_BYTES_AHEAD = 16 * 1_024;

	/**
	 * A peer that sends on after its connection was dropped is reset after these bytes.
	 */
	private static final int MAXIMUM_DISCARDED_BYTES = 512 * 1_024;

	/** Time for the owner of a dropped connection to write a response. */
	private static final int LONGEST_CLOSING_MILLIS = 10_000;

	private final ListeningSocket listener;

	private final ReceiveMeter meter;

	/** Events from before the connection was opened, in order. */
	private final Deque<SocketEvent> earlyEvents = new ArrayDeque<>();

	private int earlyBytes;

	private boolean opened;

	/** Whether reading waits until other connections have released bytes. */
	private boolean starved;

	/** Bytes that arrived since the present request is handled. */
	private long bytesAhead;

	private long discardedBytes;

	/** Bytes of responses that the peer has not read and that are charged. */
	private long unreadBytes;

	/** Whether a response to a rejected request was written. */
	private boolean rejected;

	/** Whether the sending side is closed and the peer has time to read the response. */
	private boolean lingering;

	private boolean reading = true;

	AcceptedSocket(SocketTask task, SocketChannel channel, ListeningSocket listener) {
		super(task, channel);
		this.listener = listener;
		this.meter = new ReceiveMeter(listener.limits(), task.clockMillis());
	}

	// for the owner, on any thread

	/** Notes that the header section of a request was received and its body was not. */
	public void onHeadReceived() {
		task().tellLater(() -> enter(ReceivePhase.BODY));
	}

	/** Notes that a request was received completely and is being handled. */
	public void onRequestReceived() {
		task().tellLater(() -> {
			this.bytesAhead = 0;
			enter(ReceivePhase.HANDLING);
		});
	}

	/**
	 * Sends the response to the request that is being handled.
	 * @param bytes the response
	 * @param releasedBytes held bytes that the owner no longer keeps
	 */
	public void respond(ByteString bytes, long releasedBytes) {
		task().tell(() -> {
			credit(releasedBytes);
			boolean nextBegun = this.meter.heldBytes() > this.unreadBytes;
			enter(nextBegun ? ReceivePhase.HEAD : ReceivePhase.IDLE);
			writeNow(bytes);
		});
	}

	/**
	 * Sends the response to a request that is not handled, and closes the connection once
	 * its peer has had time to read it. What the peer sends on is discarded.
	 * @param bytes the response
	 * @param releasedBytes held bytes that the owner no longer keeps
	 * @param cause why the request is rejected
	 */
	public void reject(ByteString bytes, long releasedBytes, RejectionCause cause) {
		task().tell(() -> {
			if (this.meter.phase() != ReceivePhase.CLOSING) {
				this.listener.count(cause);
			}
			this.rejected = true;
			beginClosing();
			credit(releasedBytes);
			writeNow(bytes);
			closeAfterWrites();
		});
	}

	/**
	 * Credits bytes that the owner no longer keeps.
	 * @param bytes number of bytes
	 */
	public void release(long bytes) {
		task().tell(() -> credit(bytes));
	}

	/** Resets the connection and credits all bytes that it holds. */
	@Override
	public void abort() {
		task().tell(() -> {
			resetNow("reset");
			credit(this.meter.heldBytes());
			this.listener.forget(this);
		});
	}

	// for the listener, on the thread of the task

	/** Begins to receive. */
	void receive() {
		reportTo(this::keep);
		try {
			channel().setOption(StandardSocketOptions.TCP_NODELAY, true);
			register(SelectionKey.OP_READ);
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	/**
	 * Drops this connection. Its owner may still write a response; nothing more is
	 * received.
	 * @param cause why it is dropped
	 */
	void drop(RejectionCause cause) {
		beginClosing();
		if (this.opened && this.unreadBytes == 0) {
			report(new SocketEvent.Dropped(cause));
		}
		else {
			resetNow("dropped: " + cause);
		}
	}

	/** Ends a dropped connection whose peer or owner takes too long. */
	void endOverdueClosing() {
		long millis = this.meter.millisInPeriod(task().clockMillis());
		if (this.meter.phase() == ReceivePhase.CLOSING
				&& millis > (this.rejected ? ReceiveLimits.CLOSING_MILLIS : LONGEST_CLOSING_MILLIS)) {
			resetNow("the peer does not close");
		}
	}

	/** Reads on after other connections have released bytes. */
	void endStarvation() {
		this.starved = false;
		updateReading();
	}

	/**
	 * Returns why the time of this connection is over. A closed one still waits for the
	 * handler of its request.
	 * @return the cause; empty if it may go on or is not opened yet
	 */
	Optional<RejectionCause> overdue() {
		boolean isTimed = this.opened && (isOpen() || this.meter.phase() == ReceivePhase.HANDLING);
		return isTimed ? this.meter.overdue(task().clockMillis()) : Optional.empty();
	}

	ReceiveProgress progress(long nowNanos) {
		return this.meter.progress(nowNanos);
	}

	boolean isOpen() {
		return channel().isOpen();
	}

	/**
	 * Returns whether this connection is open and was not dropped.
	 * @return {@code false} if it only waits for its end
	 */
	boolean isInUse() {
		return isOpen() && this.meter.phase() != ReceivePhase.CLOSING;
	}

	/**
	 * Returns whether this connection may be dropped for others.
	 * @return {@code true} if that frees what it holds
	 */
	boolean mayBeDropped() {
		return isOpen() && (this.meter.phase().mayBeDropped()
				|| (this.unreadBytes > 0 && this.meter.phase() != ReceivePhase.CLOSING));
	}

	boolean holdsBytes() {
		return this.meter.heldBytes() > 0;
	}

	// A system hands over the bytes that arrived before a reset, so only another read
	// shows the reset.
	@Override
	void begin(Consumer<SocketEvent> receiver) {
		boolean received = true;
		while (received) {
			received = readOnce();
		}
		this.opened = true;
		reportTo(receiver);
		if (isOpen()) {
			enter(this.meter.phase());
			this.earlyEvents.forEach(receiver);
			updateReading();
		}
		else {
			receiver.accept(this.earlyEvents.getLast());
		}
		this.earlyEvents.clear();
	}

	@Override
	void onConnectable() {
		throw new IllegalStateException("an accepted connection is connected already");
	}

	@Override
	boolean mayRead() {
		this.starved = this.meter.phase() != ReceivePhase.CLOSING && this.listener.isReadingStopped(this);
		if (this.starved) {
			updateReading();
		}
		return !this.starved;
	}

	@Override
	void onBytes(ByteBuffer bytes, long nowNanos) {
		int count = bytes.remaining();
		if (this.meter.phase() == ReceivePhase.CLOSING) {
			discard(count);
			return;
		}
		SocketEvent.Received received = new SocketEvent.Received(ByteString.fromByteBuffer(bytes), nowNanos);
		hold(received.heldBytes());
		if (this.meter.phase() == ReceivePhase.IDLE) {
			this.meter.enter(ReceivePhase.HEAD, nowNanos, task().clockMillis());
		}
		this.meter.onTransferred(count, nowNanos, task().clockMillis());
		this.bytesAhead += count;
		report(received);
		if (this.meter.phase() == ReceivePhase.HANDLING) {
			updateReading();
		}
		this.listener.onHeld(nowNanos);
	}

	@Override
	void onWaitingBytes(long waitingBytes) {
		if (waitingBytes != this.unreadBytes) {
			long change = waitingBytes - this.unreadBytes;
			this.unreadBytes = waitingBytes;
			if (change > 0) {
				hold(change);
				this.listener.onHeld(System.nanoTime());
			}
			else {
				this.meter.onTransferred(-change, System.nanoTime(), task().clockMillis());
				credit(-change);
			}
		}
	}

	@Override
	void onAllWritten() {
		if (this.lingering) {
			return;
		}
		this.lingering = this.rejected && !isInputEnded() && this.listener.mayLinger();
		if (this.lingering) {
			this.listener.onLingering(1);
			shutDownOutput();
		}
		else {
			end("closed");
		}
	}

	@Override
	void onEnded() {
		if (this.lingering) {
			this.listener.onLingering(-1);
		}
	}

	@Override
	void onInputEnded() {
		if (this.meter.phase() == ReceivePhase.CLOSING && this.rejected) {
			end("closed");
		}
		else {
			report(SocketEvent.PeerClosed.INSTANCE);
		}
	}

	// helpers

	private void keep(SocketEvent event) {
		if (event instanceof SocketEvent.Closed) {
			this.earlyEvents.clear();
			credit(this.meter.heldBytes());
			this.listener.onClosedEarly(this);
		}
		this.earlyEvents.add(event);
		if (event instanceof SocketEvent.Received received) {
			this.earlyBytes += received.bytes().length();
			updateReading();
		}
	}

	private void enter(ReceivePhase phase) {
		if (this.meter.phase() != ReceivePhase.CLOSING || phase == ReceivePhase.CLOSING) {
			this.meter.enter(phase, System.nanoTime(), task().clockMillis());
			updateReading();
		}
	}

	private void beginClosing() {
		if (this.meter.phase() != ReceivePhase.CLOSING) {
			this.listener.budget().drop(this.meter.heldBytes());
		}
		enter(ReceivePhase.CLOSING);
	}

	private void hold(long bytes) {
		this.meter.hold(bytes);
		this.listener.budget().charge(bytes);
		if (this.meter.phase() == ReceivePhase.CLOSING) {
			this.listener.budget().drop(bytes);
		}
	}

	private void credit(long bytes) {
		long credited = Math.min(bytes, this.meter.heldBytes());
		this.meter.hold(-credited);
		if (this.meter.phase() == ReceivePhase.CLOSING) {
			this.listener.budget().creditDropped(credited);
		}
		else {
			this.listener.budget().credit(credited);
		}
		this.listener.onCredited();
	}

	private void discard(int bytes) {
		this.discardedBytes += bytes;
		if (this.discardedBytes > MAXIMUM_DISCARDED_BYTES) {
			resetNow("the peer sends on after its request was rejected");
		}
	}

	private void updateReading() {
		boolean readNext = !this.starved && (this.opened || this.earlyBytes < MAXIMUM_EARLY_BYTES)
				&& (this.meter.phase() != ReceivePhase.HANDLING || this.bytesAhead < MAXIMUM_BYTES_AHEAD);
		if (readNext != this.reading) {
			this.reading = readNext;
			if (readNext) {
				resumeReading();
			}
			else {
				pauseReading();
			}
		}
	}

}
