package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.runtime.socket.SocketTask;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Gives up a request that the peer has received in part. Of the rest, which the system of
 * the client holds, nothing may arrive once the peer reads on.
 */
class AbandonedRequestTests {

	/** More than the peer can hold, less than the system of the client can. */
	private static final int BODY_BYTES = 256 * 1_024;

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

	private final SocketTask sockets = new SocketTask();

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<ReconnectingHttpClient.Outcome> outcomes = this.testKit.createTestProbe();

	private UnreadingPeer peer;

	@BeforeEach
	void start() throws IOException {
		this.peer = new UnreadingPeer();
		this.sockets.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.testKit.shutdownTestKit();
		this.peer.close();
		this.sockets.stop();
	}

	/** Guards against an order that the system repeats after its sender gave it up. */
	@Test
	void nothingOfARequestArrivesAfterItTimedOut() throws IOException {
		request();
		int receivedBytes = this.peer.acceptAndAwaitWritten(writtenBytes());
		this.time.timePasses(ANSWER_TIMEOUT);
		Truth.assertThat(this.outcomes.receiveMessage()).isEqualTo(ReconnectingHttpClient.Outcome.None.UNKNOWN);
		assertNothingArrivesAfterReset(receivedBytes);
	}

	/** Guards against an order that the system repeats after its sender has stopped. */
	@Test
	void nothingOfARequestArrivesAfterItsClientStopped() throws IOException {
		ActorRef<ReconnectingHttpClient.Command> client = request();
		int receivedBytes = this.peer.acceptAndAwaitWritten(writtenBytes());
		this.testKit.stop(client);
		assertNothingArrivesAfterReset(receivedBytes);
	}

	/** Guards against an order that the system repeats for a process that has ended. */
	@Test
	void nothingOfARequestArrivesAfterItsProcessEndedNormally() throws IOException, InterruptedException {
		assertNothingArrivesAfter((process) -> process.getOutputStream().close());
	}

	/** Guards against an order that the system repeats for a process that was killed. */
	@Test
	void nothingOfARequestArrivesAfterItsProcessWasKilled() throws IOException, InterruptedException {
		assertNothingArrivesAfter(Process::destroyForcibly);
	}

	/** Guards against an order that the system repeats after a planned stop. */
	@Test
	void nothingOfARequestArrivesAfterItsProcessWasTerminated() throws IOException, InterruptedException {
		assertNothingArrivesAfter(Process::destroy);
	}

	private void assertNothingArrivesAfter(ProcessEnd end) throws IOException, InterruptedException {
		Process process = RequestingProcess.start(this.peer.port(), BODY_BYTES);
		try {
			int receivedBytes = this.peer.acceptAndAwaitWritten(writtenBytes());
			end.apply(process);
			process.waitFor();
			Truth.assertWithMessage("bytes that the system would still send")
				.that(this.peer.clientQueueBytes())
				.isEqualTo(0);
			Truth.assertThat(this.peer.readToEnd()).isEqualTo(receivedBytes);
		}
		finally {
			process.destroyForcibly();
		}
	}

	private void assertNothingArrivesAfterReset(int receivedBytes) throws IOException {
		this.peer.awaitReset();
		Truth.assertWithMessage("bytes that the system would still send")
			.that(this.peer.clientQueueBytes())
			.isEqualTo(0);
		Truth.assertThat(this.peer.readToEnd()).isEqualTo(receivedBytes);
	}

	private ActorRef<ReconnectingHttpClient.Command> request() {
		ActorRef<ReconnectingHttpClient.Command> client = this.testKit
			.spawn(ReconnectingHttpClient.create(this.sockets, server()));
		client.tell(new ReconnectingHttpClient.Request(RequestingProcess.request(BODY_BYTES), ANSWER_TIMEOUT,
				ReconnectingHttpClient.ConnectionUse.ANY, Optional.empty(), this.outcomes.getRef()));
		return client;
	}

	private int writtenBytes() {
		return HttpMessageWriter.write(RequestingProcess.request(BODY_BYTES), server()).length();
	}

	private InetSocketAddress server() {
		return new InetSocketAddress("127.0.0.1", this.peer.port());
	}

	/** A way in which a process ends. */
	private interface ProcessEnd {

		void apply(Process process) throws IOException;

	}

}
