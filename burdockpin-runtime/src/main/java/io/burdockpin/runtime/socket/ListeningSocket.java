package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;

/** Listening socket of a {@link SocketTask}. Its methods may be called by any thread. */
public final class ListeningSocket {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long no connection is accepted after an error. The usual cause is the limit of
	 * file descriptors; the waiting connection stays ready, so the thread would spin.
	 */
	static final long PAUSE_MILLIS = 100;

	/** Later connections wait in the system's queue. */
	private static final int MAXIMUM_WAITING_CONNECTIONS = 512;

	/**
	 * Connections that may wait for their peers to read a rejection. Beyond them a
	 * connection is closed at once, so that rejected clients do not use up descriptors.
	 */
	private static final int MAXIMUM_LINGERING_CONNECTIONS = 64;

	private final SocketTask task;

	private final ServerSocketChannel channel;

	private final InetSocketAddress address;

	private final ReceiveLimits limits;

	private final ReceiveBudget budget;

	private final RejectionCounters rejections = new RejectionCounters(System.nanoTime());

	/** Connections whose owners have not released them, also closed ones. */
	private final Set<AcceptedSocket> connections = new LinkedHashSet<>();

	private int lingeringConnections;

	/** Connections that are not read until others have released bytes. */
	private final Set<AcceptedSocket> starved = new LinkedHashSet<>();

	/** Connections that were accepted before {@link #accept} was called, in order. */
	private final Set<AcceptedSocket> waiting = new LinkedHashSet<>();

	/** Present once connections are handed over. */
	private Optional<Consumer<AcceptedSocket>> onAccepted = Optional.empty();

	/** Present once connections are accepted. */
	private Optional<SelectionKey> key = Optional.empty();

	ListeningSocket(SocketTask task, ServerSocketChannel channel, InetSocketAddress address, ReceiveLimits limits) {
		this.task = task;
		this.channel = channel;
		this.address = address;
		this.limits = limits;
		this.budget = new ReceiveBudget(limits.heldBytes());
	}

	/**
	 * Returns the bound address.
	 * @return the address, with the port that was selected
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Hands over the connections that wait and all later ones. Connections that were
	 * closed while they waited are left out.
	 * @param onAccepted called on the thread of the task for each connection; must not
	 * block
	 */
	public void accept(Consumer<AcceptedSocket> onAccepted) {
		this.task.tell(() -> {
			this.onAccepted = Optional.of(onAccepted);
			this.waiting.forEach(onAccepted);
			this.waiting.clear();
			resume();
		});
	}

	/**
	 * Closes the socket. Accepted connections stay open; the ones that wait are reset.
	 */
	public void close() {
		this.task.onListeningSocketClosed(this);
		this.task.tell(() -> {
			this.waiting.forEach(AcceptedSocket::abort);
			this.waiting.clear();
			try {
				this.channel.close();
				this.task.releaseClosedChannels();
			}
			catch (IOException ex) {
				logger.atWarning().withCause(ex).log("Cannot close the socket on %s.", this.address);
			}
		});
	}

	/** Begins to accept connections. */
	void start() {
		this.task.tell(() -> {
			try {
				this.task.sweep(this);
				this.key = Optional
					.of(this.task.register(this.channel, SelectionKey.OP_ACCEPT, this::acceptConnections));
			}
			catch (IOException ex) {
				logger.atSevere().withCause(ex).log("Cannot accept connections on %s.", this.address);
			}
		});
	}

	/** Accepts connections again after a pause, on the thread of the task. */
	void resume() {
		if (!isFull()) {
			this.key.filter(SelectionKey::isValid).ifPresent((paused) -> paused.interestOps(SelectionKey.OP_ACCEPT));
		}
	}

	// for the accepted connections and the task, on the thread of the task

	ReceiveLimits limits() {
		return this.limits;
	}

	ReceiveBudget budget() {
		return this.budget;
	}

	void count(RejectionCause cause) {
		this.rejections.count(cause);
	}

	/**
	 * Drops connections after bytes were charged, until the held bytes are within their
	 * limit.
	 * @param nowNanos the time by {@link System#nanoTime}
	 */
	void onHeld(long nowNanos) {
		boolean relieved = true;
		while (relieved && this.budget.isExceeded()) {
			relieved = dropOne(AcceptedSocket::holdsBytes, RejectionCause.BYTES_HELD, nowNanos);
		}
	}

	/**
	 * Returns whether a connection has to wait until others have released bytes.
	 * @param connection the connection that is to be read
	 * @return {@code true} if it is read later
	 */
	boolean isReadingStopped(AcceptedSocket connection) {
		if (this.budget.isExhausted()) {
			this.starved.add(connection);
			return true;
		}
		return false;
	}

	/** Reads connections that waited, after bytes were credited. */
	void onCredited() {
		if (!this.starved.isEmpty() && !this.budget.isExhausted()) {
			List<AcceptedSocket> resumed = List.copyOf(this.starved);
			this.starved.clear();
			resumed.forEach(AcceptedSocket::endStarvation);
		}
	}

	/**
	 * Forgets a connection that its owner has released.
	 * @param connection the connection
	 */
	void forget(AcceptedSocket connection) {
		boolean wasFull = isFull();
		this.connections.remove(connection);
		this.starved.remove(connection);
		if (wasFull && !isFull() && this.waiting.size() < MAXIMUM_WAITING_CONNECTIONS) {
			resume();
		}
	}

	/**
	 * Forgets a connection that has closed before it was opened, if nobody else will.
	 * @param connection the connection
	 */
	void onClosedEarly(AcceptedSocket connection) {
		if (this.waiting.remove(connection)) {
			forget(connection);
		}
	}

	/**
	 * Returns whether another connection may wait for its peer to read a rejection.
	 * @return {@code false} if it has to be closed at once
	 */
	boolean mayLinger() {
		return this.lingeringConnections < MAXIMUM_LINGERING_CONNECTIONS;
	}

	/**
	 * Counts connections that wait for their peers to read a rejection.
	 * @param change 1 at the begin and -1 at the end of the wait
	 */
	void onLingering(int change) {
		this.lingeringConnections += change;
	}

	/** Drops the connections whose time is over, and logs what was rejected. */
	void sweep() {
		for (AcceptedSocket connection : List.copyOf(this.connections)) {
			connection.endOverdueClosing();
			connection.overdue().ifPresent((cause) -> drop(connection, cause));
		}
		onCredited();
		this.rejections.takeReport(System.nanoTime())
			.ifPresent((counts) -> logger.atWarning()
				.log("Rejected clients on %s, by cause since the start: %s. %d connections hold %d bytes.",
						this.address, counts, this.connections.size(), this.budget.heldBytes()));
	}

	boolean hasConnections() {
		return !this.connections.isEmpty();
	}

	/**
	 * Returns whether this socket needs no further checks.
	 * @return {@code true} once it is closed and no connection is left
	 */
	boolean isFinished() {
		return this.connections.isEmpty() && !this.channel.isOpen();
	}

	// helpers

	private void acceptConnections() {
		try {
			for (SocketChannel next = this.channel.accept(); next != null; next = this.channel.accept()) {
				next.configureBlocking(false);
				onConnection(next);
				if (isFull() || this.waiting.size() >= MAXIMUM_WAITING_CONNECTIONS) {
					stopAccepting();
					return;
				}
			}
		}
		catch (IOException ex) {
			logger.atWarning()
				.withCause(ex)
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("Cannot accept a connection on %s.", this.address);
			// Gives the descriptor of a connection back that makes no progress.
			dropOne((connection) -> true, RejectionCause.DESCRIPTORS, System.nanoTime());
			stopAccepting();
			this.task.pause(this);
		}
	}

	private void onConnection(SocketChannel accepted) throws IOException {
		if (isAtLimit() && !dropOne((connection) -> true, RejectionCause.CONNECTIONS, System.nanoTime())) {
			count(RejectionCause.CONNECTIONS);
			accepted.close();
			return;
		}
		AcceptedSocket connection = new AcceptedSocket(this.task, accepted, this);
		this.connections.add(connection);
		if (this.onAccepted.isEmpty()) {
			this.waiting.add(connection);
		}
		connection.receive();
		this.onAccepted.ifPresent((receiver) -> receiver.accept(connection));
	}

	private boolean dropOne(Predicate<AcceptedSocket> filter, RejectionCause cause, long nowNanos) {
		Optional<AcceptedSocket> chosen = LeastProgress.choose(
				this.connections.stream().filter(AcceptedSocket::mayBeDropped).filter(filter),
				(connection) -> connection.progress(nowNanos));
		chosen.ifPresent((connection) -> drop(connection, cause));
		return chosen.isPresent();
	}

	private void drop(AcceptedSocket connection, RejectionCause cause) {
		count(cause);
		connection.drop(cause);
	}

	private boolean isAtLimit() {
		return this.connections.size() >= this.limits.connections()
				&& this.connections.stream().filter(AcceptedSocket::isInUse).count() >= this.limits.connections();
	}

	// Connections that were dropped count until their owners have released them.
	private boolean isFull() {
		return this.connections.size() >= this.limits.connections() + this.limits.connections() / 4 + 1;
	}

	private void stopAccepting() {
		this.key.filter(SelectionKey::isValid).ifPresent((open) -> open.interestOps(0));
	}

}
