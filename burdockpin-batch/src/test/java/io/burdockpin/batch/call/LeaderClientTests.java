package io.burdockpin.batch.call;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import io.burdockpin.batch.scheduler.SchedulerCommand;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.model.Resources;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.link.LinkSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The local member takes the place of all members, so no test uses the network. */
class LeaderClientTests {

	private static final String HOST = "127.0.0.1";

	private static final int TICK_MILLIS = 100;

	private static final int LEADER_WAIT_MILLIS = 2_000;

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final FleetCall CALL = new FleetCall.Look("host", "/queue/job", Optional.empty());

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<SchedulerCommand> member = this.testKit.createTestProbe();

	private final TestProbe<Boolean> readiness = this.testKit.createTestProbe();

	private final TestProbe<FleetReply> replies = this.testKit.createTestProbe();

	private long nowMillis = 1_000_000;

	private final ActorRef<LeaderClientCommand> client = this.testKit
		.spawn(LeaderClient.create(
				new CallSettings(HOST, List.of(HOST), 1, TICK_MILLIS, 200, 600, LEADER_WAIT_MILLIS,
						LinkSettings.DEFAULT),
				Optional.of(this.member.getRef()), this.testKit.<EventLog.Command>createTestProbe().getRef(),
				() -> Instant.ofEpochMilli(this.nowMillis)));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against calls that time out because a member rejected them just before its
	 * own election.
	 */
	@Test
	void aCallRejectedByAMemberIsSentAgainOnceThatMemberLeads() {
		ask();
		answerAll(new FleetReply.NotLeader(Optional.empty(), List.of(HOST)));
		advance(300);
		answerAll(new FleetReply.Leads(List.of(HOST)));
		Truth.assertThat(callsOf(receivedCalls())).contains(CALL);
	}

	/** Guards against callers that wait until their deadline on a partitioned host. */
	@Test
	void callsAreRefusedImmediatelyAfterALongTimeWithoutALeader() {
		ask();
		advance(LEADER_WAIT_MILLIS + 600);
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.Unknown.class);
		receivedCalls();
		ask();
		FleetReply.Refused refused = (FleetReply.Refused) this.replies.receiveMessage();
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_LEADER);
		Truth.assertThat(refused.retryAfterMillis().get()).isAtLeast(LEADER_WAIT_MILLIS);
		Truth.assertThat(callsOf(receivedCalls())).doesNotContain(CALL);
	}

	/** Guards against work for a caller that has certainly given up. */
	@Test
	void aCallWithoutTimeLeftIsRefusedAndNotSent() {
		this.client.tell(new LeaderClientCommand.Ask(CALL, 0, this.replies.getRef()::tell));
		FleetReply.Refused refused = (FleetReply.Refused) this.replies.receiveMessage();
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_LEADER);
		Truth.assertThat(callsOf(receivedCalls())).doesNotContain(CALL);
	}

	/** Guards against a load balancer that routes callers to a process in shutdown. */
	@Test
	void aDrainingProcessIsNotReadyButItsCallsAreAnswered() {
		answerAll(new FleetReply.Leads(List.of(HOST)));
		advance(300);
		answerAll(new FleetReply.Leads(List.of(HOST)));
		Truth.assertThat(isReady()).isTrue();
		this.client.tell(LeaderClientCommand.Drain.INSTANCE);
		Truth.assertThat(isReady()).isFalse();
		ask();
		Truth.assertThat(callsOf(receivedCalls())).contains(CALL);
	}

	/** Guards against a follower that is taken for the leader. */
	@Test
	void anAnnouncementAcknowledgedByAFollowerDoesNotMakeItTheLeader() {
		receivedCalls();
		RunnerRecord runner = new RunnerRecord(new RunnerKey("runner", 1), Optional.empty(), "pool", "127.0.0.1:1",
				"dc1", Optional.empty(), Resources.NONE, Set.of(), false);
		this.client
			.tell(new LeaderClientCommand.Ask(new FleetCall.Announce(runner, 1), 900, this.replies.getRef()::tell));
		answerAll(new FleetReply.Accepted());
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.Accepted.class);
		Truth.assertThat(isReady()).isFalse();
	}

	private void ask() {
		this.client.tell(new LeaderClientCommand.Ask(CALL, TIMEOUT_MILLIS, this.replies.getRef()::tell));
	}

	private boolean isReady() {
		this.client.tell(new LeaderClientCommand.IsReady(this.readiness.getRef()));
		return this.readiness.receiveMessage();
	}

	private void advance(long millis) {
		for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
			this.nowMillis += TICK_MILLIS;
			this.time.timePasses(Duration.ofMillis(TICK_MILLIS));
			isReady();
		}
	}

	private void answerAll(FleetReply reply) {
		isReady();
		receivedCalls().forEach((call) -> call.replyTo().send(reply));
		isReady();
	}

	/** Returns the calls that the member has received so far. */
	private List<SchedulerCommand.Call> receivedCalls() {
		isReady();
		// All calls that the client has sent are queued before this message.
		this.member.getRef().tell(SchedulerCommand.Internal.TICK);
		List<SchedulerCommand.Call> calls = new ArrayList<>();
		while (this.member.receiveMessage() instanceof SchedulerCommand.Call call) {
			calls.add(call);
		}
		return calls;
	}

	private static List<FleetCall> callsOf(List<SchedulerCommand.Call> calls) {
		return calls.stream().map(SchedulerCommand.Call::call).collect(Collectors.toList());
	}

}
