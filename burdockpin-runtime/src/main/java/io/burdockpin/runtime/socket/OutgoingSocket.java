package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connection that a {@link SocketTask} opens. Messages wait until it is open. However it
 * ends, bytes that the peer has not received are dropped: what was given up must not
 * arrive later.
 */
public final class OutgoingSocket extends ConnectionSocketBase {

	/** How long the peer may take to accept the connection. */
	static final long CONNECT_TIMEOUT_MILLIS = 700;

	private final InetSocketAddress peer;

	private long connectDeadlineNanos;

	OutgoingSocket(SocketTask task, SocketChannel channel, InetSocketAddress peer) {
		super(task, channel);
		this.peer = peer;
	}

	@Override
	void begin(Consumer<SocketEvent> receiver) throws IOException {
		reportTo(receiver);
		channel().setOption(StandardSocketOptions.TCP_NODELAY, true);
		// Also applies if the process ends.
		channel().setOption(StandardSocketOptions.SO_LINGER, 0);
		this.connectDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS);
		register(SelectionKey.OP_CONNECT);
		try {
			if (channel().connect(this.peer)) {
				onConnected();
			}
			else {
				task().awaitConnection(this);
			}
		}
		catch (UnresolvedAddressException ex) {
			fail("the address is not known", false);
		}
		catch (IOException ex) {
			fail(ex.getMessage(), ex instanceof ConnectException);
		}
	}

	@Override
	void onConnectable() {
		try {
			if (channel().finishConnect()) {
				onConnected();
			}
		}
		catch (IOException ex) {
			fail(ex.getMessage(), ex instanceof ConnectException);
		}
	}

	/**
	 * Returns whether the outcome of the connection attempt is open.
	 * @return {@code false} once the connection is open or closed
	 */
	boolean isConnecting() {
		return channel().isConnectionPending();
	}

	/**
	 * Returns how long the peer may still take.
	 * @return the nanoseconds until the end of the time limit; negative after it
	 */
	long remainingNanos() {
		return this.connectDeadlineNanos - System.nanoTime();
	}

	/** Gives up a connection attempt whose time is over. */
	void onConnectTimeout() {
		fail("connect timed out", false);
	}

	private void onConnected() {
		report(SocketEvent.Connected.INSTANCE);
		readAndWrite();
	}

	private void fail(String reason, boolean refused) {
		end(new SocketEvent.ConnectFailed(String.valueOf(reason), refused));
	}

}
