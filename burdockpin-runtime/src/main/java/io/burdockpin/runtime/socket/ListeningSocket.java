package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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

	private final SocketTask task;

	private final ServerSocketChannel channel;

	private final InetSocketAddress address;

	/** Connections that were accepted before {@link #accept} was called, in order. */
	private final Set<AcceptedSocket> waiting = new LinkedHashSet<>();

	/** Present once connections are handed over. */
	private Optional<Consumer<AcceptedSocket>> onAccepted = Optional.empty();

	/** Present once connections are accepted. */
	private Optional<SelectionKey> key = Optional.empty();

	ListeningSocket(SocketTask task, ServerSocketChannel channel, InetSocketAddress address) {
		this.task = task;
		this.channel = channel;
		this.address = address;
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
		this.key.filter(SelectionKey::isValid).ifPresent((paused) -> paused.interestOps(SelectionKey.OP_ACCEPT));
	}

	private void acceptConnections() {
		try {
			for (SocketChannel next = this.channel.accept(); next != null; next = this.channel.accept()) {
				next.configureBlocking(false);
				onConnection(new AcceptedSocket(this.task, next));
				if (this.waiting.size() >= MAXIMUM_WAITING_CONNECTIONS) {
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
			stopAccepting();
			this.task.pause(this);
		}
	}

	private void onConnection(AcceptedSocket connection) {
		if (this.onAccepted.isEmpty()) {
			this.waiting.add(connection);
		}
		connection.receive(() -> this.waiting.remove(connection));
		this.onAccepted.ifPresent((receiver) -> receiver.accept(connection));
	}

	private void stopAccepting() {
		this.key.filter(SelectionKey::isValid).ifPresent((open) -> open.interestOps(0));
	}

}
