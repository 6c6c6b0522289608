package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Connection accepted by a {@link SocketTask}. It receives from then on, so that the time
 * for which a request waits until the connection is opened is known, and so is the end of
 * a connection that its peer resets meanwhile.
 */
public final class AcceptedSocket extends ConnectionSocketBase {

	/** Many connections may wait while a process starts, whose memory is small. */
	private static final int MAXIMUM_EARLY_BYTES = 16 * 1_024;

	/** Events from before the connection was opened, in order. */
	private final Deque<SocketEvent> earlyEvents = new ArrayDeque<>();

	private int earlyBytes;

	private boolean readingPaused;

	AcceptedSocket(SocketTask task, SocketChannel channel) {
		super(task, channel);
	}

	/**
	 * Begins to receive, on the thread of the task.
	 * @param onClosed called if the connection closes before it is opened
	 */
	void receive(Runnable onClosed) {
		reportTo((event) -> {
			keep(event);
			if (event instanceof SocketEvent.Closed) {
				onClosed.run();
			}
		});
		try {
			channel().setOption(StandardSocketOptions.TCP_NODELAY, true);
			register(SelectionKey.OP_READ);
		}
		catch (IOException ex) {
			end(ex.getMessage());
		}
	}

	// A system hands over the bytes that arrived before a reset, so only another read
	// shows the reset.
	@Override
	void begin(Consumer<SocketEvent> receiver) {
		boolean received = true;
		while (received) {
			received = readOnce();
		}
		reportTo(receiver);
		if (channel().isOpen()) {
			this.earlyEvents.forEach(receiver);
			if (this.readingPaused) {
				resumeReading();
			}
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

	private void keep(SocketEvent event) {
		this.earlyEvents.add(event);
		if (event instanceof SocketEvent.Received received) {
			this.earlyBytes += received.bytes().length();
			if (this.earlyBytes >= MAXIMUM_EARLY_BYTES) {
				this.readingPaused = true;
				pauseReading();
			}
		}
	}

}
