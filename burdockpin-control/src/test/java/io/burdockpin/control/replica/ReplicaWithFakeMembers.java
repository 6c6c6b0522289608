package io.burdockpin.control.replica;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.control.link.MemberLinkCommand;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.Command;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestInbox;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * One of three members, whose replica runs on the thread of the test. The test plays the
 * others, which answer only when it says so.
 */
final class ReplicaWithFakeMembers {

	private static final MemberId SELF = new MemberId(new HostName("c1"), 1);

	private static final MemberId OTHER = new MemberId(new HostName("c2"), 1);

	private static final MemberId THIRD = new MemberId(new HostName("c3"), 1);

	private final TestInbox<LogWriter.Command> logWriter = TestInbox.create();

	private final TestInbox<EventLog.Command> eventLog = TestInbox.create();

	private final TestInbox<MemberLinkCommand> links = TestInbox.create();

	private final TestInbox<ClientMessage> replies = TestInbox.create();

	private final AtomicLong nowMillis;

	private final BehaviorTestKit<ReplicaMessage> actor;

	ReplicaWithFakeMembers(AtomicLong nowMillis) {
		this.nowMillis = nowMillis;
		List<Member> members = new ArrayList<>();
		List.of(SELF, OTHER, THIRD).forEach((id) -> members.add(new Member(id, MemberRole.VOTER, "")));
		DurableState durable = new DurableState(SELF, 0, Optional.empty(), Snapshot.initial(new Membership(members)),
				List.of());
		Replica replica = new Replica(ReplicaSettings.DEFAULT, durable, new Random(1), nowMillis.get());
		FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(), new ThriftFleetSnapshotCodec());
		this.actor = BehaviorTestKit
			.create(Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new ReplicaActor(context, timers,
					new ReplicaActorSettings("test", 2000), replica, machine, this.logWriter.getRef(),
					this.eventLog.getRef(), new MetricRegistry(), () -> Instant.ofEpochMilli(nowMillis.get())))));
		run(new ReplicaMessage.AttachLinks(this.links.getRef()));
	}

	void run(ReplicaMessage message) {
		this.actor.run(message);
	}

	/** Elects this member in term 1 and commits the first entry of the term. */
	void lead() {
		this.nowMillis.addAndGet(ReplicaSettings.DEFAULT.electionTimeoutMaximumMillis());
		run(ReplicaMessage.Timer.TICK);
		fromOther(new ConsensusMessage.VoteReply(1, true, true));
		sync();
		fromOther(new ConsensusMessage.VoteReply(1, false, true));
		sync();
		letOtherAcknowledge();
	}

	/**
	 * Commits a command.
	 * @param command the command
	 */
	void commit(Command command) {
		run(new ReplicaMessage.Propose(new ClientMessage.Propose(1, Optional.empty(), OptionalLong.empty(), command),
				this.replies.getRef()));
		sync();
		letOtherAcknowledge();
	}

	/** Delivers what was sent to one other member, and its answers. */
	void letOtherAcknowledge() {
		for (MemberLinkCommand command : this.links.getAllReceived()) {
			if (command instanceof MemberLinkCommand.SendToMember send && send.envelope().receiver().equals(OTHER)
					&& send.envelope().message() instanceof ConsensusMessage.AppendRequest request) {
				fromOther(new ConsensusMessage.AppendReply(request.term(), true,
						request.previousIndex() + request.entries().size(), request.round(), request.sentMillis()));
			}
		}
	}

	/**
	 * Delivers the answer of a member that has elected a successor.
	 * @param term the term of the successor
	 */
	void hearOfSuccessor(long term) {
		fromOther(new ConsensusMessage.AppendReply(term, false, 1, 0, this.nowMillis.get()));
	}

	private void sync() {
		for (LogWriter.Command command : this.logWriter.getAllReceived()) {
			run(new ReplicaMessage.Written((command instanceof LogWriter.WriteVote vote) ? vote.write().number()
					: ((LogWriter.WriteEntries) command).write().number()));
		}
	}

	private void fromOther(ConsensusMessage message) {
		run(new ReplicaMessage.FromMember(
				new ConsensusEnvelope("test", OTHER, SELF, 0, HybridTimestamp.ZERO, message)));
	}

}
