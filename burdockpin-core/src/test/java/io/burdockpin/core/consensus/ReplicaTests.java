package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import org.junit.jupiter.api.Test;

/** Tests individual rules of {@link Replica}. */
class ReplicaTests {

	private static final MemberId SELF = new MemberId(new HostName("c1"), 1);

	private static final MemberId OTHER = new MemberId(new HostName("c2"), 1);

	private final FakeCluster cluster = new FakeCluster(1, InjectedBug.NONE, 3);

	@Test
	void aReconnectedMemberDoesNotDisruptTheLeader() {
		FakeMember leader = elected();
		FakeMember follower = follower();
		long term = leader.replica.get().status().term();
		this.cluster.isolate(follower);
		this.cluster.runFor(10_000);
		this.cluster.heal();
		this.cluster.runFor(2000);
		Truth.assertThat(leader.replica.get().status().term()).isEqualTo(term);
		Truth.assertThat(leader.isLeader()).isTrue();
	}

	@Test
	void anIsolatedLeaderStepsDownWithinAnElectionTimeout() {
		FakeMember leader = elected();
		this.cluster.isolate(leader);
		this.cluster.runFor(FakeCluster.SETTINGS.electionTimeoutMaximumMillis() + 50);
		Truth.assertThat(leader.isLeader()).isFalse();
		Truth.assertThat(this.cluster.propose(leader)).isFalse();
	}

	@Test
	void aResumedLeaderWithoutMajorityContactRejectsProposalsAndReads() {
		FakeMember leader = elected();
		this.cluster.freeze(leader, 5000);
		this.cluster.runFor(4999);
		Replica resumed = leader.replica.get();
		Truth.assertThat(resumed.status().role()).isEqualTo(Role.LEADER);
		long nowMillis = this.cluster.nowMillis() + 1;
		Truth.assertThat(resumed.propose(Payload.ofText("late"), nowMillis).isPresent()).isFalse();
		resumed.read(77, nowMillis);
		Truth.assertThat(resumed.drainEffects()).contains(new Effect.ReadRefused(77));
	}

	/**
	 * A pre-vote changes no term. Guards against a whole election timeout without a
	 * leader because the first request or its answer was lost, or came just too early.
	 */
	@Test
	void aPreVoteWithoutAMajorityIsRepeatedWithinHalfOfAnElectionTimeout() {
		elected();
		FakeMember follower = follower();
		this.cluster.isolate(follower);
		for (int step = 0; step < 200; step++) {
			this.cluster.runFor(25);
			Replica replica = follower.replica.get();
			if (replica.status().role() == Role.PRE_CANDIDATE) {
				Truth.assertThat(replica.nextDueMillis(this.cluster.nowMillis()) - this.cluster.nowMillis())
					.isAtMost(FakeCluster.SETTINGS.electionTimeoutMinimumMillis() / 2);
			}
		}
		Truth.assertThat(follower.replica.get().status().role()).isEqualTo(Role.PRE_CANDIDATE);
	}

	@Test
	void aLeaderWithAHangingDiskTransfersTheLeadershipWithinTwoSeconds() {
		FakeMember leader = elected();
		this.cluster.hangDisk(leader, 30_000);
		this.cluster.propose(leader);
		this.cluster.runFor(2000);
		Truth.assertThat(leader.isLeader()).isFalse();
		FakeMember next = this.cluster.leader().orElseThrow();
		long committed = this.cluster.invariants().highestCommitted();
		Truth.assertThat(this.cluster.propose(next)).isTrue();
		this.cluster.runFor(500);
		Truth.assertThat(this.cluster.invariants().highestCommitted()).isGreaterThan(committed);
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	/**
	 * Guards against a group that loses its leader to a disk that hangs for less time
	 * than a transfer takes. Occurs when the successor has not stored the last entries in
	 * time. Proposals are rejected in between, without a change of leader.
	 */
	@Test
	void aLeaderWhoseTransferIsAbandonedStaysInItsTermAndAcceptsProposalsAgain() {
		FakeMember leader = elected();
		long term = leader.replica.get().status().term();
		this.cluster.maximumSyncMillis = FakeCluster.SETTINGS.hangingWriteMillis() / 4;
		this.cluster.hangDisk(leader, FakeCluster.SETTINGS.hangingWriteMillis() + 150);
		Truth.assertThat(this.cluster.propose(leader)).isTrue();
		int rejected = 0;
		for (int step = 0; step < 100; step++) {
			this.cluster.runFor(25);
			Truth.assertThat(leader.isLeader()).isTrue();
			rejected += this.cluster.propose(leader) ? 0 : 1;
		}
		Truth.assertThat(rejected).isGreaterThan(0);
		Truth.assertThat(this.cluster.propose(leader)).isTrue();
		long committed = this.cluster.invariants().highestCommitted();
		this.cluster.runFor(2000);
		Truth.assertThat(this.cluster.invariants().highestCommitted()).isGreaterThan(committed);
		Truth.assertThat(leader.replica.get().status().term()).isEqualTo(term);
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	@Test
	void aLeaderWithAHangingDiskStepsDownEvenWithoutASuccessor() {
		FakeMember leader = elected();
		this.cluster.members().forEach((member) -> this.cluster.hangDisk(member, 30_000));
		this.cluster.propose(leader);
		this.cluster.runFor(
				FakeCluster.SETTINGS.hangingWriteMillis() + FakeCluster.SETTINGS.electionTimeoutMinimumMillis() + 100);
		Truth.assertThat(leader.isLeader()).isFalse();
		Truth.assertThat(this.cluster.propose(leader)).isFalse();
	}

	@Test
	void aMemberWithAHangingDiskStartsNoElectionUntilTheWriteHasEnded() {
		FakeMember leader = elected();
		this.cluster.members().forEach((member) -> this.cluster.hangDisk(member, 20_000));
		this.cluster.propose(leader);
		this.cluster.runFor(5000);
		for (int step = 0; step < 100; step++) {
			this.cluster.runFor(100);
			Truth.assertThat(leader.replica.get().status().role()).isEqualTo(Role.FOLLOWER);
		}
		this.cluster.runFor(10_000);
		Truth.assertThat(leader.replica.get().isDiskHanging(this.cluster.nowMillis())).isFalse();
		Truth.assertThat(this.cluster.leader().isPresent()).isTrue();
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	@Test
	void aLeaderWithASlowDiskThatMakesProgressKeepsTheLeadership() {
		this.cluster.maximumSyncMillis = FakeCluster.SETTINGS.hangingWriteMillis() / 3;
		this.cluster.runFor(10_000);
		FakeMember leader = this.cluster.leader().orElseThrow();
		long term = leader.replica.get().status().term();
		for (int count = 0; count < 400; count++) {
			this.cluster.propose(leader);
			this.cluster.runFor(25);
		}
		Truth.assertThat(leader.isLeader()).isTrue();
		Truth.assertThat(leader.replica.get().status().term()).isEqualTo(term);
	}

	@Test
	void aLeadershipTransferTakesLessThanAnElectionTimeout() {
		FakeMember leader = elected();
		this.cluster.handOver();
		this.cluster.runFor(200);
		Truth.assertThat(leader.isLeader()).isFalse();
		Truth.assertThat(this.cluster.leader().isPresent()).isTrue();
	}

	/**
	 * Guards against a successor that is elected by a transfer while its predecessor
	 * still sends orders on a confirmation from before the transfer.
	 */
	@Test
	void aLeadershipTransferWaitsUntilThePermissionToSendHasEnded() {
		FakeMember leader = elected();
		this.cluster.read(leader);
		this.cluster.runFor(20);
		Truth.assertThat(leader.permittedUntilMillis).isGreaterThan(this.cluster.nowMillis());
		this.cluster.handOver();
		for (int step = 0; step < 30; step++) {
			this.cluster.read(this.cluster.leader().orElseThrow());
			this.cluster.runFor(20);
		}
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
		Truth.assertThat(leader.isLeader()).isFalse();
		Truth.assertThat(this.cluster.leader().isPresent()).isTrue();
	}

	/**
	 * Guards against two leaders that act at the same time, because the request to stand
	 * for election was delayed until its sender had resumed its leadership.
	 */
	@Test
	void aLeaderWhoseTransferRequestIsUnansweredStepsDown() {
		FakeMember leader = elected();
		this.cluster.members()
			.stream()
			.filter((member) -> member != leader)
			.forEach((member) -> this.cluster.freeze(member, 900));
		this.cluster.handOver();
		this.cluster.runFor(600);
		Truth.assertThat(leader.isLeader()).isFalse();
		this.cluster.runFor(3_000);
		Truth.assertThat(this.cluster.leader().isPresent()).isTrue();
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	/** Guards against a group without a leader, because its successor does not answer. */
	@Test
	void aLeaderTransfersOnlyToAMemberThatAnswers() {
		FakeMember leader = elected();
		List<FakeMember> others = this.cluster.members().stream().filter((member) -> member != leader).toList();
		for (FakeMember silent : others) {
			this.cluster.freeze(silent, 700);
			this.cluster.runFor(600);
			this.cluster.handOver();
			this.cluster.runFor(100);
			FakeMember successor = this.cluster.leader().orElseThrow();
			Truth.assertThat(successor).isNotSameInstanceAs(silent);
			Truth.assertThat(successor).isNotSameInstanceAs(leader);
			this.cluster.runFor(2_000);
			while (this.cluster.leader().orElseThrow() != leader) {
				this.cluster.handOver();
				this.cluster.runFor(1_000);
			}
		}
	}

	@Test
	void proposalsAreAcceptedUntilThePermissionToSendHasEnded() {
		FakeMember leader = elected();
		this.cluster.read(leader);
		this.cluster.runFor(20);
		this.cluster.handOver();
		Truth.assertThat(this.cluster.propose(leader)).isTrue();
		this.cluster.runFor(490);
		Truth.assertThat(this.cluster.propose(leader)).isFalse();
	}

	@Test
	void aMemberThatLostItsDiskDoesNotVoteBeforeItIsAdmitted() {
		FakeMember leader = elected();
		FakeMember wiped = follower();
		this.cluster.wipeDisk(wiped);
		this.cluster.crash(leader);
		this.cluster.runFor(10_000);
		Truth.assertThat(this.cluster.leader().isPresent()).isFalse();
		Truth.assertThat(wiped.disk.state().term()).isEqualTo(0);
	}

	@Test
	void aDiskLossRightAfterTheReplacementOfAnotherMemberLosesNoEntry() {
		elected();
		proposeMany(30);
		FakeMember first = follower();
		this.cluster.wipeDisk(first);
		this.cluster.change(MembershipChange.REPLACE, first.id());
		this.cluster.runFor(3000);
		long committed = this.cluster.invariants().highestCommitted();
		FakeMember second = this.cluster.leader().orElseThrow();
		this.cluster.wipeDisk(second);
		this.cluster.runFor(3000);
		this.cluster.change(MembershipChange.REPLACE, second.id());
		this.cluster.runFor(3000);
		Truth.assertThat(second.appliedIndex).isAtLeast(committed);
		Truth.assertThat(this.cluster.leader().orElseThrow().replica.get().status().membership().isVoter(second.id()))
			.isTrue();
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	@Test
	void aFollowerBehindTheRetainedEntriesReceivesASnapshotInChunks() {
		elected();
		FakeMember lagging = follower();
		this.cluster.crash(lagging);
		proposeMany(100);
		long committed = this.cluster.invariants().highestCommitted();
		this.cluster.start(lagging);
		this.cluster.runFor(3000);
		Truth.assertThat(lagging.disk.state().snapshot().index()).isAtLeast(committed - 12);
		Truth.assertThat(lagging.appliedIndex).isAtLeast(committed);
		Truth.assertThat(this.cluster.invariants().violations()).isEmpty();
	}

	@Test
	void aHeartbeatDuringASnapshotTransferMatchesTheLogOfTheFollower() {
		Membership membership = durable(List.of(SELF, OTHER)).snapshot().membership();
		Snapshot snapshot = new Snapshot(10, 1, 0, membership, Payload.of(new byte[40]));
		Replica leader = new Replica(FakeCluster.SETTINGS,
				new DurableState(SELF, 1, Optional.empty(), snapshot, List.of()), new Random(1), 0);
		leader.tick(2000);
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.VoteReply(2, true, true)), 2000);
		leader.onSynced(1, 2000);
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.VoteReply(2, false, true)), 2000);
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.AppendReply(2, false, 1, 1, 2000)), 2010);
		leader.drainEffects();
		leader.tick(2150);
		Truth.assertThat(leader.drainEffects())
			.contains(new Effect.Send(OTHER, 11, new ConsensusMessage.AppendRequest(2, 0, 0, List.of(), 10, 2, 2150)));
	}

	/**
	 * Messages on a link keep their order. Guards against copies of a large entry that
	 * fill the link, so that the heartbeats behind them are late.
	 */
	@Test
	void anEntryIsSentOnceWhileItMayBeOnItsWay() {
		Replica leader = leaderOfTwo();
		Truth.assertThat(sentEntries(leader.drainEffects())).hasSize(1);
		for (long millis = 2100; millis < 3000; millis += FakeCluster.SETTINGS.heartbeatMillis()) {
			leader.tick(millis);
			Truth.assertThat(sentEntries(leader.drainEffects())).isEmpty();
		}
	}

	@Test
	void anEntryIsSentAgainAsSoonAsALaterMessageIsAnsweredBeforeIt() {
		Replica leader = leaderOfTwo();
		leader.tick(2100);
		leader.drainEffects();
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.AppendReply(1, true, 0, 1, 2000)), 2110);
		Truth.assertThat(sentEntries(leader.drainEffects())).isEmpty();
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.AppendReply(1, true, 0, 2, 2100)), 2120);
		Truth.assertThat(sentEntries(leader.drainEffects())).hasSize(1);
	}

	@Test
	void largeEntriesTriggerAnEarlierSnapshotAndAreNotRetained() {
		Replica single = singleVoter();
		single.onSynced(2, 3000);
		single.drainEffects();
		single.propose(Payload.of(new byte[8000]), 3000);
		single.propose(Payload.of(new byte[1000]), 3000);
		single.onSynced(3, 3000);
		Truth.assertThat(single.needsSnapshot()).isFalse();
		single.onSynced(4, 3000);
		Truth.assertThat(single.needsSnapshot()).isTrue();
		single.compact(3, Payload.EMPTY);
		Truth.assertThat(single.needsSnapshot()).isFalse();
	}

	@Test
	void aSecondMembershipChangeIsRejectedWhileOneIsPending() {
		elected();
		this.cluster.members()
			.stream()
			.filter((member) -> !member.isLeader())
			.forEach((member) -> this.cluster.cutLink(member.host(), this.cluster.leader().orElseThrow().host()));
		Optional<MembershipChangeResult> first = this.cluster.change(MembershipChange.ADD,
				new MemberId(new HostName("c4"), 7));
		Optional<MembershipChangeResult> second = this.cluster.change(MembershipChange.ADD,
				new MemberId(new HostName("c5"), 7));
		Truth.assertThat(first.map(MembershipChangeResult::kind))
			.isEqualTo(Optional.of(MembershipChangeResult.Kind.PROPOSED));
		Truth.assertThat(second.map(MembershipChangeResult::kind))
			.isEqualTo(Optional.of(MembershipChangeResult.Kind.BUSY));
	}

	/**
	 * Guards against a resend that is rejected although the first request is in the log
	 * and gets committed.
	 */
	@Test
	void aMembershipChangeResentBeforeItsCommitReturnsTheIndexOfTheFirstRequest() {
		elected();
		this.cluster.members()
			.stream()
			.filter((member) -> !member.isLeader())
			.forEach((member) -> this.cluster.cutLink(member.host(), this.cluster.leader().orElseThrow().host()));
		MemberId added = new MemberId(new HostName("c4"), 7);
		MembershipChangeResult first = this.cluster.change(MembershipChange.ADD, added).orElseThrow();
		MembershipChangeResult resent = this.cluster.change(MembershipChange.ADD, added).orElseThrow();
		Truth.assertThat(first.kind()).isEqualTo(MembershipChangeResult.Kind.PROPOSED);
		Truth.assertThat(resent)
			.isEqualTo(new MembershipChangeResult(MembershipChangeResult.Kind.PENDING, first.index()));
	}

	/**
	 * Guards against a change that is rejected permanently because it arrives right after
	 * an election, before the first entry of the new leader is committed.
	 */
	@Test
	void aLeaderWithoutACommittedEntryOfItsTermAsksTheCallerToRetry() {
		Replica single = singleVoter();
		Member added = new Member(OTHER, MemberRole.LEARNER, "");
		Truth.assertThat(single.changeMembership(MembershipChange.ADD, added, 3000).kind())
			.isEqualTo(MembershipChangeResult.Kind.NOT_LEADER);
		single.onSynced(2, 3000);
		Truth.assertThat(single.changeMembership(MembershipChange.ADD, added, 3000).kind())
			.isEqualTo(MembershipChangeResult.Kind.PROPOSED);
	}

	@Test
	void aMembershipChangeResentAfterItsCommitReturnsAlreadyDone() {
		elected();
		FakeMember added = this.cluster.create(new MemberId(new HostName("c4"), 7), Membership.EMPTY);
		this.cluster.change(MembershipChange.ADD, added.id());
		this.cluster.runFor(2000);
		Truth.assertThat(this.cluster.change(MembershipChange.ADD, added.id()).map(MembershipChangeResult::kind))
			.isEqualTo(Optional.of(MembershipChangeResult.Kind.ALREADY_DONE));
		Truth.assertThat(this.cluster.leader().orElseThrow().replica.get().status().membership().voters()).hasSize(4);
	}

	@Test
	void entriesThatArriveDuringASyncShareTheNextWrite() {
		Replica single = singleVoter();
		for (int count = 0; count < 10; count++) {
			single.propose(Payload.ofText("command"), 3000);
		}
		List<Effect.WriteEntries> writes = entryWrites(single.drainEffects());
		Truth.assertThat(writes).isEmpty();
		single.onSynced(2, 3000);
		Truth.assertThat(entryWrites(single.drainEffects()).get(0).entries()).hasSize(10);
	}

	@Test
	void anEntryIsNotCommittedBeforeItsSyncIsReported() {
		Replica single = singleVoter();
		Truth.assertThat(single.status().commitIndex()).isEqualTo(0);
		single.onSynced(2, 3000);
		Truth.assertThat(single.status().commitIndex()).isEqualTo(1);
	}

	@Test
	void aMessageForAnotherIncarnationIsDropped() {
		Replica replica = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF, OTHER)), new Random(1), 0);
		replica.drainEffects();
		ConsensusMessage request = new ConsensusMessage.VoteRequest(5, false, true, 10, 4);
		replica.receive(envelope(OTHER, new MemberId(SELF.host(), 2), request), 2000);
		Truth.assertThat(replica.drainEffects()).isEmpty();
		replica.receive(envelope(OTHER, SELF, request), 2000);
		replica.onSynced(2, 2000);
		Truth.assertThat(replica.drainEffects())
			.contains(new Effect.Send(OTHER, 0, new ConsensusMessage.VoteReply(5, false, true)));
	}

	@Test
	void aVoteOfAReplacedIncarnationDoesNotCount() {
		Replica replica = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF, OTHER)), new Random(1), 0);
		replica.tick(2000);
		ConsensusMessage granted = new ConsensusMessage.VoteReply(1, true, true);
		replica.receive(envelope(new MemberId(OTHER.host(), 2), SELF, granted), 2001);
		Truth.assertThat(replica.status().role()).isEqualTo(Role.PRE_CANDIDATE);
		replica.receive(envelope(OTHER, SELF, granted), 2001);
		Truth.assertThat(replica.status().role()).isEqualTo(Role.CANDIDATE);
	}

	/**
	 * Guards against heartbeats that are lagging because the next tick is due too
	 * lagging.
	 */
	@Test
	void theNextHeartbeatOfALeaderIsDueOneHeartbeatPeriodAfterTheLast() {
		Replica single = singleVoter();
		Truth.assertThat(single.nextDueMillis(3000)).isEqualTo(3000 + FakeCluster.SETTINGS.heartbeatMillis());
		single.tick(3500);
		Truth.assertThat(single.nextDueMillis(3500)).isEqualTo(3500 + FakeCluster.SETTINGS.heartbeatMillis());
	}

	/** Guards against a follower that is ticked after its election timeout. */
	@Test
	void aFollowerTickedOnlyAtItsDueTimesStartsItsElectionInTime() {
		Replica replica = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF, OTHER)), new Random(1), 0);
		long dueMillis = replica.nextDueMillis(0);
		Truth.assertThat(dueMillis).isAtLeast(FakeCluster.SETTINGS.electionTimeoutMinimumMillis());
		Truth.assertThat(dueMillis).isAtMost(FakeCluster.SETTINGS.electionTimeoutMaximumMillis());
		replica.tick(dueMillis - 1);
		Truth.assertThat(replica.status().role()).isEqualTo(Role.FOLLOWER);
		replica.tick(dueMillis);
		Truth.assertThat(replica.status().role()).isEqualTo(Role.PRE_CANDIDATE);
		Truth.assertThat(replica.nextDueMillis(dueMillis)).isGreaterThan(dueMillis);
	}

	/**
	 * Guards against a hanging disk that is detected late, and against a tick that stays
	 * due.
	 */
	@Test
	void aPendingWriteIsDueOnceWhenItExceedsTheTimeLimit() {
		Replica replica = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF, OTHER)), new Random(1), 0);
		replica.receive(envelope(OTHER, SELF, new ConsensusMessage.VoteRequest(5, false, true, 10, 4)), 2000);
		long hangsMillis = 2000 + FakeCluster.SETTINGS.hangingWriteMillis();
		for (long nowMillis = 2000; nowMillis < hangsMillis; nowMillis = replica.nextDueMillis(nowMillis)) {
			replica.tick(nowMillis);
			Truth.assertThat(replica.nextDueMillis(nowMillis)).isAtMost(hangsMillis);
		}
		replica.tick(hangsMillis);
		Truth.assertThat(replica.isDiskHanging(hangsMillis)).isTrue();
		Truth.assertThat(replica.nextDueMillis(hangsMillis)).isGreaterThan(hangsMillis);
	}

	private FakeMember elected() {
		this.cluster.runFor(3000);
		return this.cluster.leader().orElseThrow();
	}

	private FakeMember follower() {
		return this.cluster.members().stream().filter((member) -> !member.isLeader()).findFirst().orElseThrow();
	}

	private void proposeMany(int count) {
		for (int proposed = 0; proposed < count; proposed++) {
			this.cluster.propose(this.cluster.leader().orElseThrow());
			this.cluster.runFor(50);
		}
	}

	private static Replica singleVoter() {
		Replica single = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF)), new Random(1), 0);
		single.tick(3000);
		single.onSynced(1, 3000);
		single.drainEffects();
		return single;
	}

	private static DurableState durable(List<MemberId> voters) {
		Membership membership = new Membership(
				voters.stream().map((voter) -> new Member(voter, MemberRole.VOTER, "")).toList());
		return new DurableState(SELF, 0, Optional.empty(), Snapshot.initial(membership), List.of());
	}

	private static ConsensusEnvelope envelope(MemberId sender, MemberId receiver, ConsensusMessage message) {
		return new ConsensusEnvelope("test", sender, receiver, 0, HybridTimestamp.ZERO, message);
	}

	/** Elected at 2000 ms in term 1; the first entry of the term is on its way. */
	private static Replica leaderOfTwo() {
		Replica leader = new Replica(FakeCluster.SETTINGS, durable(List.of(SELF, OTHER)), new Random(1), 0);
		leader.tick(2000);
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.VoteReply(1, true, true)), 2000);
		leader.onSynced(1, 2000);
		leader.receive(envelope(OTHER, SELF, new ConsensusMessage.VoteReply(1, false, true)), 2000);
		return leader;
	}

	private static List<ConsensusMessage.AppendRequest> sentEntries(List<Effect> effects) {
		List<ConsensusMessage.AppendRequest> sent = new ArrayList<>();
		for (Effect effect : effects) {
			if (effect instanceof Effect.Send send && send.message() instanceof ConsensusMessage.AppendRequest request
					&& !request.entries().isEmpty()) {
				sent.add(request);
			}
		}
		return sent;
	}

	private static List<Effect.WriteEntries> entryWrites(List<Effect> effects) {
		List<Effect.WriteEntries> writes = new ArrayList<>();
		effects.forEach((effect) -> {
			if (effect instanceof Effect.WriteEntries write) {
				writes.add(write);
			}
		});
		return writes;
	}

}
