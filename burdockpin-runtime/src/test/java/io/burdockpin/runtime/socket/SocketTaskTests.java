package io.burdockpin.runtime.socket;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connects to listening sockets of a task. */
class SocketTaskTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int CHUNK_BYTES = 1_024 * 1_024;

	private final SocketTask task = new SocketTask();

	private final BlockingQueue<AcceptedSocket> accepted = new LinkedBlockingQueue<>();

	private final BlockingQueue<SocketEvent> events = new LinkedBlockingQueue<>();

	private ListeningSocket listening;

	@BeforeEach
	void start() throws IOException {
		this.task.start();
		this.listening = this.task.listen(new InetSocketAddress("127.0.0.1", 0));
	}

	@AfterEach
	void stop() {
		this.task.stop();
	}

	/** Guards against connections that are refused before the process accepts them. */
	@Test
	void aConnectionWaitsUntilConnectionsAreAccepted() throws IOException, InterruptedException {
		try (Socket client = connect()) {
			client.getOutputStream().write("early".getBytes(StandardCharsets.US_ASCII));
			this.listening.accept(this.accepted::add);
			openNext();
			assertReceived(next(this.events), "early");
		}
	}

	/** Guards against connections beyond those that are held and are never accepted. */
	@Test
	void moreConnectionsThanAreHeldWaitUntilConnectionsAreAccepted() throws IOException, InterruptedException {
		List<Socket> clients = new ArrayList<>();
		try {
			for (int number = 0; number < 600; number++) {
				clients.add(connect());
			}
			this.listening.accept(this.accepted::add);
			for (int number = 0; number < 600; number++) {
				next(this.accepted);
			}
		}
		finally {
			for (Socket client : clients) {
				client.close();
			}
		}
	}

	/**
	 * Guards against memory that clients fill while the process still starts, before
	 * anyone has opened their connections.
	 */
	@Test
	void connectionsThatAreNotOpenedHoldNoMoreThanTheirListenerMay() throws IOException, InterruptedException {
		ReceiveLimits limits = new ReceiveLimits(40 * 1_024, 10, 60_000, 60_000, 0, 60_000);
		this.listening.close();
		this.listening = this.task.listen(new InetSocketAddress("127.0.0.1", 0), limits);
		List<Socket> clients = new ArrayList<>();
		try {
			for (int number = 0; number < 6; number++) {
				clients.add(connect());
				clients.get(number).getOutputStream().write(new byte[16 * 1_024]);
			}
			awaitEndOfOne(clients);
			this.listening.accept(this.accepted::add);
			openNext();
			Truth.assertThat(next(this.events)).isInstanceOf(SocketEvent.Received.class);
			Truth.assertThat(this.accepted.size()).isAtMost(4);
		}
		finally {
			for (Socket client : clients) {
				client.close();
			}
		}
	}

	// Which connection is dropped depends on when its bytes have arrived.
	private static void awaitEndOfOne(List<Socket> clients) throws IOException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
		while (clients.stream().noneMatch(SocketTaskTests::hasEnded)) {
			Truth.assertWithMessage("a connection is dropped").that(System.nanoTime()).isLessThan(endNanos);
		}
	}

	private static boolean hasEnded(Socket client) {
		try {
			client.setSoTimeout(50);
			return client.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			// The connection was reset.
			return true;
		}
	}

	@Test
	void anAddressIsBoundOnceUntilItsSocketIsClosed() throws IOException {
		Truth.assertThat(this.task.listen(this.listening.address())).isSameInstanceAs(this.listening);
		SocketTask other = new SocketTask();
		Truth.assertThat(canListen(other, this.listening.address())).isFalse();
	}

	@Test
	void aClosedSocketRefusesConnectionsAndKeepsTheAcceptedOnes() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			AcceptedSocket connection = openNext();
			this.listening.close();
			connection.write(ByteString.fromString("x"));
			Truth.assertThat(client.getInputStream().read()).isEqualTo('x');
			Truth.assertThat(canConnect()).isFalse();
		}
	}

	@Test
	void bytesAreSentInOrderBeforeTheConnectionCloses() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			AcceptedSocket connection = openNext();
			connection.write(ByteString.fromString("one "));
			connection.write(ByteString.fromString("two"));
			connection.close();
			connection.write(ByteString.fromString("three"));
			Truth.assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
				.isEqualTo("one two");
			Truth.assertThat(next(this.events)).isInstanceOf(SocketEvent.Closed.class);
		}
	}

	/** Guards against a client that reads slowly and gets a truncated response. */
	@Test
	void aSlowReaderGetsAllBytes() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (SocketChannel client = SocketChannel.open()) {
			client.setOption(StandardSocketOptions.SO_RCVBUF, 4_096);
			client.connect(this.listening.address());
			AcceptedSocket connection = openNext();
			connection.write(ByteString.fromArray(new byte[3 * CHUNK_BYTES]));
			connection.close();
			ByteBuffer buffer = ByteBuffer.allocate(64 * 1_024);
			long receivedBytes = 0;
			for (int readBytes = 0; readBytes >= 0; readBytes = client.read(buffer.clear())) {
				receivedBytes += readBytes;
			}
			Truth.assertThat(receivedBytes).isEqualTo(3 * CHUNK_BYTES);
		}
	}

	/** Guards against memory that a client takes by not reading its responses. */
	@Test
	void aConnectionWhosePeerNeverReadsIsClosed() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			AcceptedSocket connection = openNext();
			for (int chunk = 0; chunk < 100; chunk++) {
				connection.write(ByteString.fromArray(new byte[CHUNK_BYTES]));
			}
			Truth.assertThat(next(this.events)).isEqualTo(new SocketEvent.Closed("the peer does not read"));
			Truth.assertThat(client.isConnected()).isTrue();
		}
	}

	@Test
	void aPeerThatClosesItsSendingSideIsReportedOnceAndCanBeAnswered() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			AcceptedSocket connection = openNext();
			client.shutdownOutput();
			Truth.assertThat(next(this.events)).isEqualTo(SocketEvent.PeerClosed.INSTANCE);
			connection.write(ByteString.fromString("x"));
			connection.close();
			Truth.assertThat(client.getInputStream().read()).isEqualTo('x');
			Truth.assertThat(next(this.events)).isInstanceOf(SocketEvent.Closed.class);
		}
	}

	/** Guards against one faulty connection that takes down the listener. */
	@Test
	void anErrorInOneConnectionLeavesTheOthersOpen() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket faulty = connect(); Socket sound = connect()) {
			next(this.accepted).open((event) -> {
				throw new IllegalStateException("injected");
			});
			openNext();
			faulty.getOutputStream().write(1);
			Truth.assertThat(isClosed(faulty)).isTrue();
			sound.getOutputStream().write('s');
			assertReceived(next(this.events), "s");
		}
	}

	@Test
	void aStoppedTaskClosesItsSockets() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			openNext();
			client.getOutputStream().write(1);
			next(this.events);
			this.task.stop();
			Truth.assertThat(isClosed(client)).isTrue();
		}
	}

	@Test
	void anOutgoingConnectionSendsWhatWaitedUntilItWasOpen() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		OutgoingSocket outgoing = this.task.connect(this.listening.address());
		outgoing.write(ByteString.fromString("early"));
		BlockingQueue<SocketEvent> outgoingEvents = new LinkedBlockingQueue<>();
		outgoing.open(outgoingEvents::add);
		AcceptedSocket connection = openNext();
		Truth.assertThat(next(outgoingEvents)).isEqualTo(SocketEvent.Connected.INSTANCE);
		assertReceived(next(this.events), "early");
		connection.write(ByteString.fromString("answer"));
		assertReceived(next(outgoingEvents), "answer");
		outgoing.abort();
		Truth.assertThat(next(outgoingEvents)).isInstanceOf(SocketEvent.Closed.class);
		Truth.assertThat(next(this.events)).isInstanceOf(SocketEvent.Closed.class);
	}

	@Test
	void aRefusedConnectionIsReported() throws IOException, InterruptedException {
		this.listening.close();
		OutgoingSocket outgoing = this.task.connect(this.listening.address());
		outgoing.open(this.events::add);
		SocketEvent.ConnectFailed failed = (SocketEvent.ConnectFailed) next(this.events);
		Truth.assertThat(failed.refused()).isTrue();
	}

	/** Guards against an order that is sent after its window. */
	@Test
	void aMessageWhoseConditionDoesNotHoldIsLeftOutOnTheThreadOfTheTask() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		try (Socket client = connect()) {
			AcceptedSocket connection = openNext();
			BlockingQueue<Thread> threads = new LinkedBlockingQueue<>();
			connection.write(ByteString.fromString("one "));
			connection.write(ByteString.fromString("late "), () -> !threads.add(Thread.currentThread()));
			connection.write(ByteString.fromString("two"), () -> true);
			connection.close();
			Truth.assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
				.isEqualTo("one two");
			Truth.assertThat(next(this.events)).isEqualTo(SocketEvent.NotWritten.INSTANCE);
			Truth.assertThat(next(threads).getName()).isEqualTo("sockets");
		}
	}

	/** Guards against bytes that the system delivers after a process was stopped. */
	@Test
	void aStoppedTaskResetsItsOutgoingConnections() throws IOException, InterruptedException {
		this.listening.accept(this.accepted::add);
		SocketTask other = new SocketTask();
		other.start();
		other.connect(this.listening.address()).open(this.events::add);
		Truth.assertThat(next(this.events)).isEqualTo(SocketEvent.Connected.INSTANCE);
		openNext();
		other.stop();
		Truth.assertThat(next(this.events)).isEqualTo(new SocketEvent.Closed("Connection reset"));
	}

	private AcceptedSocket openNext() throws InterruptedException {
		AcceptedSocket connection = next(this.accepted);
		connection.open(this.events::add);
		return connection;
	}

	private static void assertReceived(SocketEvent event, String text) {
		SocketEvent.Received received = (SocketEvent.Received) event;
		Truth.assertThat(received.bytes()).isEqualTo(ByteString.fromString(text));
	}

	private boolean canConnect() throws IOException {
		try (Socket client = connect()) {
			return client.isConnected();
		}
		catch (ConnectException ex) {
			return false;
		}
	}

	private static boolean canListen(SocketTask task, InetSocketAddress address) {
		try {
			return task.listen(address) != null;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private Socket connect() throws IOException {
		return new Socket(this.listening.address().getAddress(), this.listening.address().getPort());
	}

	private static boolean isClosed(Socket client) throws IOException {
		try {
			return client.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			// The connection was reset.
			return true;
		}
	}

	private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
		T next = queue.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		Truth.assertThat(next).isNotNull();
		return next;
	}

}
