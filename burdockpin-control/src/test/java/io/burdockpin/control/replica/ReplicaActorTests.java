package io.burdockpin.control.replica;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.Effect;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.consensus.Role;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestInbox;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong replies to entry hosts: a command that was reported as not
 * proposed but is applied, and a configuration that is reported as confirmed where it was
 * not acknowledged.
 */
class ReplicaActorTests {

	private static final DataCentre DATA_CENTRE = new DataCentre("dc1");

	private static final Holder ENTRY_HOST = new Holder(new HostName("e1"), 5);

	private final TestInbox<LogWriter.Command> logWriter = TestInbox.create();

	private final TestInbox<EventLog.Command> eventLog = TestInbox.create();

	private final TestInbox<ClientMessage> session = TestInbox.create();

	private long nowMillis;

	private BehaviorTestKit<ReplicaMessage> actor;

	@Test
	void aMemberThatDoesNotLeadSaysThatTheCommandWasNotProposed() {
		start(3);
		client(createQueue(1, "first"));
		Truth.assertThat(replies()).isEqualTo(List.of(new ClientMessage.NotLeader(1, Optional.empty())));
	}

	@Test
	void aCommandIsAnsweredOnlyAfterItsEntryIsSynced() {
		lead();
		client(createQueue(1, "first"));
		Truth.assertThat(replies()).isEmpty();
		sync();
		Truth.assertThat(replies()).isEqualTo(List.of(accepted(1, 2, 2, List.of())));
	}

	@Test
	void aDuplicateRequestGetsTheFirstResult() {
		lead();
		client(createQueue(1, "same"));
		client(createQueue(2, "same"));
		sync();
		sync();
		Truth.assertThat(replies()).isEqualTo(List.of(accepted(1, 2, 2, List.of()), accepted(2, 3, 2, List.of())));
	}

	@Test
	void aLeaderThatWasPausedRepliesThatTheOutcomeIsUnknown() {
		start(3);
		this.nowMillis = 5000;
		run(ReplicaMessage.Timer.TICK);
		electWithVotesOfOthers();
		client(createQueue(1, "first"));
		this.nowMillis += 60_000;
		client(createQueue(2, "second"));
		Truth.assertThat(replies())
			.isEqualTo(List.of(new ClientMessage.NotLeader(2, Optional.empty()), new ClientMessage.ProposalUnknown(1)));
	}

	@Test
	void aLeaderWithAHangingDiskStepsDownAndIsElectedOnlyAfterTheWriteCompletes() {
		TestInbox<ControlStatus> status = TestInbox.create();
		lead();
		client(createQueue(1, "first"));
		run(ReplicaMessage.Timer.TICK);
		this.nowMillis += ReplicaSettings.DEFAULT.hangingWriteMillis();
		run(ReplicaMessage.Timer.TICK);
		Truth.assertThat(replies()).isEqualTo(List.of(new ClientMessage.ProposalUnknown(1)));
		this.nowMillis += 10_000;
		run(ReplicaMessage.Timer.TICK);
		run(new ReplicaMessage.FetchStatus(status.getRef()));
		ControlStatus hanging = status.receiveMessage();
		Truth.assertThat(hanging.diskHangs()).isTrue();
		Truth.assertThat(hanging.replica().role()).isEqualTo(Role.FOLLOWER);
		sync();
		this.nowMillis += 10_000;
		run(ReplicaMessage.Timer.TICK);
		sync();
		run(new ReplicaMessage.FetchStatus(status.getRef()));
		ControlStatus recovered = status.receiveMessage();
		Truth.assertThat(recovered.diskHangs()).isFalse();
		Truth.assertThat(recovered.replica().role()).isEqualTo(Role.LEADER);
	}

	@Test
	void theReplyWaitsForTheConfirmationOfTheEntryHosts() {
		lead();
		client(new ClientMessage.Subscribe(DATA_CENTRE, 0));
		replies();
		client(createQueue(1, "first"));
		sync();
		Truth.assertThat(replies().stream().map(Object::getClass).toList())
			.isEqualTo(List.of(ClientMessage.FeedUpdate.class));
		client(new ClientMessage.FeedAcknowledgement(2));
		Truth.assertThat(replies()).isEqualTo(List.of(accepted(1, 2, 2, List.of())));
	}

	@Test
	void theReplyNamesTheDataCentresThatDoNotConfirmInTime() {
		lead();
		client(new ClientMessage.Subscribe(DATA_CENTRE, 0));
		client(createQueue(1, "first"));
		sync();
		replies();
		this.nowMillis += 1999;
		run(ReplicaMessage.Timer.TICK);
		Truth.assertThat(replies()).isEmpty();
		this.nowMillis += 1;
		run(ReplicaMessage.Timer.TICK);
		Truth.assertThat(replies()).isEqualTo(List.of(accepted(1, 2, 2, List.of(DATA_CENTRE))));
	}

	@Test
	void aSubscriberThatIsBehindGetsTheWholeConfiguration() {
		lead();
		client(createQueue(1, "first"));
		sync();
		replies();
		client(new ClientMessage.Subscribe(DATA_CENTRE, 1));
		ClientMessage first = replies().get(0);
		Truth.assertThat(first).isInstanceOf(ClientMessage.FeedSnapshot.class);
		Truth.assertThat(((ClientMessage.FeedSnapshot) first).configuration().index()).isEqualTo(2);
	}

	@Test
	void aQueryWithoutAMajorityIsAnsweredAsNotCurrent() {
		start(3);
		client(new ClientMessage.QueryRequest(1, new Query.ListMembers()));
		Truth.assertThat(((ClientMessage.QueryReply) replies().get(0)).current()).isFalse();
	}

	@Test
	void aReadIndexIsTheConfigurationIndexOfALeaderWithAMajority() {
		lead();
		client(createQueue(1, "first"));
		sync();
		replies();
		client(new ClientMessage.ReadIndex(2));
		Truth.assertThat(replies()).isEqualTo(List.of(new ClientMessage.ReadIndexReply(2, 2)));
	}

	@Test
	void thePlannersSeeALeaderOnlyAfterItHasAppliedTheEntriesOfEarlierTerms() {
		TestInbox<FleetRecords> records = TestInbox.create();
		start(1);
		this.nowMillis = 5000;
		run(ReplicaMessage.Timer.TICK);
		sync();
		run(new ReplicaMessage.FetchRecords(records.getRef()));
		Truth.assertThat(records.receiveMessage().leader()).isFalse();
		sync();
		run(new ReplicaMessage.FetchRecords(records.getRef()));
		Truth.assertThat(records.receiveMessage().leader()).isTrue();
	}

	@Test
	void thePlannersGetRecordsOfALeaderOnlyOnceAMajorityHasConfirmedItAfterTheirRequest() {
		AtomicLong clock = new AtomicLong();
		ReplicaWithFakeMembers leader = new ReplicaWithFakeMembers(clock);
		TestInbox<FleetRecords> records = TestInbox.create();
		leader.lead();
		clock.addAndGet(10);
		long requestedMillis = clock.get();
		leader.run(new ReplicaMessage.FetchRecords(records.getRef()));
		Truth.assertThat(records.hasMessages()).isFalse();
		clock.addAndGet(10);
		leader.letOtherAcknowledge();
		FleetRecords confirmed = records.receiveMessage();
		Truth.assertThat(confirmed.leader()).isTrue();
		Truth.assertThat(confirmed.confirmedMillis()).isEqualTo(requestedMillis);
		leader.run(new ReplicaMessage.FetchRecords(records.getRef()));
		clock.addAndGet(ReplicaSettings.DEFAULT.electionTimeoutMaximumMillis() + 1);
		leader.run(ReplicaMessage.Timer.TICK);
		Truth.assertThat(records.receiveMessage().leader()).isFalse();
	}

	private void lead() {
		start(1);
		this.nowMillis = 5000;
		run(ReplicaMessage.Timer.TICK);
		sync();
		sync();
	}

	private void start(int voters) {
		List<Member> members = new ArrayList<>();
		for (int index = 1; index <= voters; index++) {
			members.add(new Member(member(index), MemberRole.VOTER, ""));
		}
		DurableState durable = new DurableState(member(1), 0, Optional.empty(),
				Snapshot.initial(new Membership(members)), List.of());
		Replica replica = new Replica(ReplicaSettings.DEFAULT, durable, new Random(1), 0);
		FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(), new ThriftFleetSnapshotCodec());
		this.actor = BehaviorTestKit
			.create(Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new ReplicaActor(context, timers,
					new ReplicaActorSettings("test", 2000), replica, machine, this.logWriter.getRef(),
					this.eventLog.getRef(), new MetricRegistry(), () -> Instant.ofEpochMilli(this.nowMillis)))));
	}

	private void electWithVotesOfOthers() {
		fromMember(new ConsensusMessage.VoteReply(1, true, true));
		sync();
		fromMember(new ConsensusMessage.VoteReply(1, false, true));
	}

	private void fromMember(ConsensusMessage message) {
		run(new ReplicaMessage.FromMember(
				new ConsensusEnvelope("test", member(2), member(1), 0, HybridTimestamp.ZERO, message)));
	}

	private void sync() {
		for (LogWriter.Command command : this.logWriter.getAllReceived()) {
			run(new ReplicaMessage.Written(number(command)));
		}
	}

	private void client(ClientMessage message) {
		run(new ReplicaMessage.FromClient(ENTRY_HOST, message, this.session.getRef()));
	}

	private void run(ReplicaMessage message) {
		this.actor.run(message);
	}

	private List<ClientMessage> replies() {
		return this.session.getAllReceived()
			.stream()
			.filter((message) -> !(message instanceof ClientMessage.FeedHeartbeat))
			.toList();
	}

	private static long number(LogWriter.Command command) {
		if (command instanceof LogWriter.WriteVote vote) {
			return vote.write().number();
		}
		Effect.WriteEntries entries = ((LogWriter.WriteEntries) command).write();
		return entries.number();
	}

	private static MemberId member(int index) {
		return new MemberId(new HostName("c" + index), 1);
	}

	private static ClientMessage createQueue(long correlation, String requestId) {
		return new ClientMessage.Propose(correlation, Optional.of(new RequestId(requestId)), OptionalLong.empty(),
				new ConfigurationCommand.CreateQueue(new QueueName("queue"), true));
	}

	private static ClientMessage accepted(long correlation, long index, long version, List<DataCentre> unconfirmed) {
		return new ClientMessage.ProposeReply(correlation, index, new CommandResult.Accepted(version), unconfirmed);
	}

}
