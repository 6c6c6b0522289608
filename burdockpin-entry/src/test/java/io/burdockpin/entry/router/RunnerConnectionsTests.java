package io.burdockpin.entry.router;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.RunnerAttachment;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies connection reuse. A new connection for each attempt creates garbage that
 * caused full collections of about 100 ms, while reuse could deliver a response to the
 * wrong request or report a wrong outcome.
 */
class RunnerConnectionsTests {

	private static final long IDLE_MILLIS = 1000;

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(15);

	private final ActorTestKit kit = ActorTestKit.create();

	private final FakeRunner runner = new FakeRunner("127.41.1.1");

	private final AtomicLong nowMillis = new AtomicLong(1_000_000);

	private final TestProbe<AttemptReport> reports = this.kit.createTestProbe();

	private final RunnerAttachment attachment = new RunnerAttachment(new RunnerName("runner-1"), this.runner.address(),
			false, 1);

	private final ActorRef<RunnerConnections.Command> connections = this.kit.spawn(RunnerConnections.create(
			new EntryIdentity(new Holder(new HostName("entry-1"), 7),
					new PeerInfo(new HostName("entry-1"), new DataCentre("dc-1"), "127.41.1.2:1"),
					() -> Instant.ofEpochMilli(this.nowMillis.get())),
			new RunnerConnector(this.kit.system(), Duration.ofSeconds(60), 1024, Optional.empty()), IDLE_MILLIS,
			new MetricRegistry()));

	private long lastAttempt;

	@AfterEach
	void stopAll() {
		this.runner.close();
		this.kit.shutdownTestKit();
	}

	@Test
	void repeatableRequestsOneAfterTheOtherOpenOneConnection() {
		keepIdle(2);
		for (int count = 0; count < 20; count++) {
			Truth.assertThat(answered(true)).isEqualTo(Outcome.RAN);
		}
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(1);
	}

	@Test
	void aRequestThatIsNotRepeatableGetsAConnectionOfItsOwnThatIsClosedAfterwards() {
		keepIdle(2);
		answered(true);
		answered(false);
		this.runner.awaitConnectionClosed();
		answered(false);
		this.runner.awaitConnectionClosed();
		answered(true);
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(3);
	}

	@Test
	void noMoreIdleConnectionsAreKeptThanTheLimit() {
		keepIdle(1);
		send(this.attachment, true, 30_000);
		send(this.attachment, true, 30_000);
		this.runner.awaitCall().answer("one");
		this.runner.awaitCall().answer("two");
		this.reports.receiveMessage(LONGEST_WAIT);
		this.reports.receiveMessage(LONGEST_WAIT);
		this.runner.awaitConnectionClosed();
		answered(true);
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(2);
	}

	@Test
	void aSecondAnswerToAnEarlierAttemptNeverReachesTheNextOne() {
		keepIdle(1);
		send(this.attachment, true, 30_000);
		FakeRunner.Call first = this.runner.awaitCall();
		first.answer("one");
		this.reports.receiveMessage(LONGEST_WAIT);
		first.answer("late");
		send(this.attachment, true, 30_000);
		AttemptReport report = this.reports.receiveMessage(LONGEST_WAIT);
		Truth.assertThat(report.result().response()).isEmpty();
		Truth.assertThat(report.result().outcome()).isEqualTo(Outcome.UNKNOWN);
		this.runner.awaitConnectionClosed();
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(1);
	}

	@Test
	void aUsedConnectionThatEndsBeforeTheAnswerLeavesTheOutcomeUnknown() {
		keepIdle(1);
		answered(true);
		send(this.attachment, true, 30_000);
		this.runner.awaitCall().closeConnection();
		Truth.assertThat(this.reports.receiveMessage(LONGEST_WAIT).result().outcome()).isEqualTo(Outcome.UNKNOWN);
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(1);
	}

	@Test
	void anAnswerThatAnnouncesTheEndOfItsConnectionIsNotFollowedByAnotherRequestOnIt() {
		keepIdle(1);
		send(this.attachment, true, 30_000);
		FakeRunner.Call call = this.runner.awaitCall();
		call.write("HTTP/1.1 200 OK\r\nConnection: close\r\nBurdock-Attempt: " + call.attempt()
				+ "\r\nContent-Length: 3\r\n\r\none");
		Truth.assertThat(this.reports.receiveMessage(LONGEST_WAIT).result().outcome()).isEqualTo(Outcome.RAN);
		Truth.assertThat(answered(true)).isEqualTo(Outcome.RAN);
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(2);
	}

	@Test
	void anIdleConnectionIsClosedAfterTheIdleTime() {
		keepIdle(1);
		answered(true);
		this.nowMillis.addAndGet(IDLE_MILLIS);
		this.runner.awaitConnectionClosed();
	}

	@Test
	void idleConnectionsAreClosedWhenTheirRunnerMayTakeNoNewWork() {
		keepIdle(1);
		answered(true);
		this.connections.tell(new RunnerConnections.LimitIdle(Map.of()));
		this.runner.awaitConnectionClosed();
	}

	@Test
	void aConnectionWhoseRunnerLeavesDuringAnAttemptIsClosedAfterItsAnswer() {
		keepIdle(1);
		send(this.attachment, true, 30_000);
		FakeRunner.Call call = this.runner.awaitCall();
		this.connections.tell(new RunnerConnections.LimitIdle(Map.of()));
		call.answer("one");
		Truth.assertThat(this.reports.receiveMessage(LONGEST_WAIT).result().outcome()).isEqualTo(Outcome.RAN);
		this.runner.awaitConnectionClosed();
	}

	@Test
	void aRunnerThatAttachedAgainGetsNoRequestOnAConnectionOfItsEarlierAttachment() {
		keepIdle(1);
		answered(true);
		RunnerAttachment next = new RunnerAttachment(this.attachment.runner(), this.attachment.address(), false, 2);
		this.connections.tell(new RunnerConnections.LimitIdle(Map.of(next, 1)));
		this.runner.awaitConnectionClosed();
		send(next, true, 30_000);
		this.runner.awaitCall().answer("one");
		this.reports.receiveMessage(LONGEST_WAIT);
		Truth.assertThat(this.runner.connectionCount()).isEqualTo(2);
	}

	@Test
	void theConnectionOfARunnerThatStaysSilentIsClosedAtTheDeadline() {
		keepIdle(1);
		answered(true);
		send(this.attachment, true, 1);
		Truth.assertThat(this.reports.receiveMessage(LONGEST_WAIT).result().outcome()).isEqualTo(Outcome.UNKNOWN);
		this.runner.awaitConnectionClosed();
	}

	@Test
	void anAttemptOnARunnerWithAnUnusableAddressHasNotRun() {
		send(new RunnerAttachment(this.attachment.runner(), "127.41.1.1:70000", false, 1), true, 30_000);
		Truth.assertThat(this.reports.receiveMessage(LONGEST_WAIT).result().outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	private void keepIdle(int count) {
		this.connections.tell(new RunnerConnections.LimitIdle(Map.of(this.attachment, count)));
	}

	private Outcome answered(boolean repeatable) {
		send(this.attachment, repeatable, 30_000);
		this.runner.awaitCall().answer("done");
		return this.reports.receiveMessage(LONGEST_WAIT).result().outcome();
	}

	private void send(RunnerAttachment attachment, boolean repeatable, long remainingMillis) {
		RunnerCall call = new RunnerCall(++this.lastAttempt, new QueueName("quotes"), new RequestId("request"),
				"text/plain; charset=UTF-8", Payload.of(new byte[] { 1, 2, 3 }), remainingMillis, OptionalLong.empty());
		this.connections.tell(new RunnerConnections.Attempt(attachment, call, repeatable, this.reports.getRef()));
	}

}
