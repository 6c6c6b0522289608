package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * Task that owns the listening sockets of a process, the connections that they accept and
 * outgoing connections, on one thread. Other threads use the sockets through messages to
 * this task. The thread waits while no socket is ready and no message has arrived.
 */
public final class SocketTask {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** All clients may connect at the same time after an outage. */
	private static final int BACKLOG = 512;

	/** How often connections are checked for their limits on time. */
	private static final long SWEEP_MILLIS = 500;

	private static final int READ_BUFFER_BYTES = 16 * 1_024;

	private final Selector selector;

	private final Queue<Runnable> messages = new ConcurrentLinkedQueue<>();

	private final Map<InetSocketAddress, ListeningSocket> listeningSockets = new HashMap<>();

	private final List<ListeningSocket> pausedSockets = new ArrayList<>();

	/** Connections that were opened last, in the order of their time limits. */
	private final Deque<OutgoingSocket> connectingSockets = new ArrayDeque<>();

	/** Sockets whose connections have limits on their time. */
	private final List<ListeningSocket> sweptSockets = new ArrayList<>();

	private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

	private final Thread thread;

	private volatile boolean stopping;

	/** Time by which clients are measured; see {@link #clockMillis}. */
	private long clockNanos;

	private long lastNanos = System.nanoTime();

	private long lastSweepNanos = this.lastNanos;

	/**
	 * Creates a task that is not started.
	 * @throws UncheckedIOException if the system allows no more file descriptors
	 */
	public SocketTask() {
		try {
			this.selector = Selector.open();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.thread = new Thread(this::run, "sockets");
		this.thread.setDaemon(true);
	}

	// life cycle

	/** Starts the thread. */
	public void start() {
		this.thread.start();
	}

	/** Closes all sockets and ends the thread. */
	public void stop() {
		this.stopping = true;
		this.selector.wakeup();
	}

	// access

	/**
	 * Listens on an address. From then on this task accepts connections and receives what
	 * their peers send, but they wait until {@link ListeningSocket#accept} is called. An
	 * address that this task listens on already is not bound again.
	 * @param address the address to bind; port 0 selects a free port each time
	 * @return the listening socket
	 * @throws IOException if the address cannot be bound
	 */
	public ListeningSocket listen(InetSocketAddress address) throws IOException {
		return listen(address, ReceiveLimits.DEFAULT);
	}

	/**
	 * Listens on an address as {@link #listen(InetSocketAddress)}, with limits on what
	 * its connections hold and for how long.
	 * @param address the address to bind; port 0 selects a free port each time
	 * @param limits the limits of all connections of the socket; those of the first call
	 * for an address apply
	 * @return the listening socket
	 * @throws IOException if the address cannot be bound
	 */
	public ListeningSocket listen(InetSocketAddress address, ReceiveLimits limits) throws IOException {
		synchronized (this.listeningSockets) {
			ListeningSocket open = this.listeningSockets.get(address);
			if (open != null) {
				return open;
			}
			ServerSocketChannel channel = ServerSocketChannel.open();
			try {
				channel.configureBlocking(false);
				channel.bind(address, BACKLOG);
				ListeningSocket socket = new ListeningSocket(this, channel,
						(InetSocketAddress) channel.getLocalAddress(), limits);
				this.listeningSockets.put(socket.address(), socket);
				socket.start();
				return socket;
			}
			catch (IOException ex) {
				channel.close();
				throw ex;
			}
		}
	}

	/**
	 * Prepares a connection, which {@link OutgoingSocket#open} begins to open.
	 * @param peer the address to connect to
	 * @return the connection
	 * @throws IOException if the system allows no more file descriptors
	 */
	public OutgoingSocket connect(InetSocketAddress peer) throws IOException {
		SocketChannel channel = SocketChannel.open();
		channel.configureBlocking(false);
		return new OutgoingSocket(this, channel, peer);
	}

	// for the sockets of this task

	/**
	 * Sends a message to this task, from any thread.
	 * @param message runs on the thread of this task; must not block
	 */
	void tell(Runnable message) {
		this.messages.add(message);
		this.selector.wakeup();
	}

	/**
	 * Sends a message to this task without waking it up. The message is handled with the
	 * next one, with the next bytes, or after half a second while connections are open.
	 * @param message runs on the thread of this task; must not block
	 */
	void tellLater(Runnable message) {
		this.messages.add(message);
	}

	/**
	 * Returns the time by which clients are measured, on the thread of this task. Time in
	 * which this process did not run is left out, since clients cannot have made progress
	 * then.
	 * @return the time in milliseconds
	 */
	long clockMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.clockNanos);
	}

	/**
	 * Checks the connections of a socket for their limits on time from now on.
	 * @param socket the socket
	 */
	void sweep(ListeningSocket socket) {
		this.sweptSockets.add(socket);
	}

	void onListeningSocketClosed(ListeningSocket socket) {
		synchronized (this.listeningSockets) {
			this.listeningSockets.remove(socket.address(), socket);
		}
	}

	SelectionKey register(SelectableChannel channel, int operations, Runnable onReady) throws IOException {
		return channel.register(this.selector, operations, onReady);
	}

	/**
	 * Gives up the addresses of closed channels at once; a selector keeps a channel open
	 * until its next selection.
	 */
	void releaseClosedChannels() throws IOException {
		this.selector.selectNow();
	}

	/**
	 * Accepts no connections on a socket for a while, because accepting one failed.
	 * @param socket the socket, which is resumed by this task
	 */
	void pause(ListeningSocket socket) {
		this.pausedSockets.add(socket);
	}

	/**
	 * Gives up a connection attempt at the end of its time limit.
	 * @param socket the connection, which is not open yet
	 */
	void awaitConnection(OutgoingSocket socket) {
		this.connectingSockets.add(socket);
	}

	/**
	 * Returns the buffer that all connections of this task share for one read each.
	 * @return the buffer, used only on the thread of this task
	 */
	ByteBuffer readBuffer() {
		return this.readBuffer;
	}

	// helpers

	private void run() {
		try (Selector owned = this.selector) {
			while (!this.stopping) {
				owned.select(waitMillis());
				advanceClock();
				this.pausedSockets.forEach(ListeningSocket::resume);
				this.pausedSockets.clear();
				for (Runnable message = this.messages.poll(); message != null; message = this.messages.poll()) {
					runGuarded(message);
				}
				owned.selectedKeys()
					.stream()
					.filter(SelectionKey::isValid)
					.forEach((key) -> runGuarded((Runnable) key.attachment()));
				owned.selectedKeys().clear();
				endConnectionAttempts();
				sweepConnections();
			}
			for (SelectionKey key : owned.keys()) {
				key.channel().close();
			}
		}
		catch (IOException ex) {
			logger.atSevere().withCause(ex).log("The sockets of this process can no longer be used.");
		}
	}

	private void advanceClock() {
		long nowNanos = System.nanoTime();
		this.clockNanos += Math.min(nowNanos - this.lastNanos, TimeUnit.MILLISECONDS.toNanos(2 * SWEEP_MILLIS));
		this.lastNanos = nowNanos;
	}

	// After the messages and bytes that have arrived, so that a connection is not dropped
	// for what this process has not handled.
	private void sweepConnections() {
		if (this.lastNanos - this.lastSweepNanos >= TimeUnit.MILLISECONDS.toNanos(SWEEP_MILLIS)) {
			this.lastSweepNanos = this.lastNanos;
			this.sweptSockets.forEach((socket) -> runGuarded(socket::sweep));
			this.sweptSockets.removeIf(ListeningSocket::isFinished);
		}
	}

	private long waitMillis() {
		long millis = hasAcceptedConnections() ? SWEEP_MILLIS : 0;
		if (!this.pausedSockets.isEmpty()) {
			millis = ListeningSocket.PAUSE_MILLIS;
		}
		if (this.connectingSockets.isEmpty()) {
			return millis;
		}
		long connectMillis = 1
				+ Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.connectingSockets.peek().remainingNanos()));
		return (millis > 0) ? Math.min(millis, connectMillis) : connectMillis;
	}

	// Called for each event, so without a stream.
	private boolean hasAcceptedConnections() {
		for (ListeningSocket socket : this.sweptSockets) {
			if (socket.hasConnections()) {
				return true;
			}
		}
		return false;
	}

	private void endConnectionAttempts() {
		for (OutgoingSocket first = this.connectingSockets.peek(); first != null
				&& (!first.isConnecting() || first.remainingNanos() <= 0); first = this.connectingSockets.peek()) {
			this.connectingSockets.remove();
			if (first.isConnecting()) {
				runGuarded(first::onConnectTimeout);
			}
		}
	}

	// An error of one connection must not end the others.
	private static void runGuarded(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).atMostEvery(1, TimeUnit.SECONDS).log("A socket event was not handled.");
		}
	}

}
