package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.Payload;

/**
 * What a leader does during one term: replication, commits, reads and the hand-over.
 * Mutable; owned by one replica and dropped when it steps down.
 */
final class Leadership {

	private final MemberId self;

	private final long term;

	private final ReplicaSettings settings;

	private final ElectionBackoff electionBackoff;

	private final ReplicaLog log;

	private final Outbox outbox;

	private final Map<MemberId, FollowerProgress> progresses = new HashMap<>();

	private final List<PendingRead> pendingReads = new ArrayList<>();

	/** The first entry of this term; reads wait until it is committed. */
	private final long firstIndex;

	private long round;

	private long nextHeartbeatMillis;

	private Optional<Transfer> transfer = Optional.empty();

	/** Whether the leadership was offered to another member because the disk hangs. */
	private boolean handOverAttempted;

	Leadership(MemberId self, long term, ReplicaSettings settings, ElectionBackoff electionBackoff, ReplicaLog log,
			Outbox outbox, long nowMillis) {
		this.self = self;
		this.term = term;
		this.settings = settings;
		this.electionBackoff = electionBackoff;
		this.log = log;
		this.outbox = outbox;
		this.firstIndex = log.lastIndex() + 1;
		this.nextHeartbeatMillis = nowMillis;
		updateMembers(nowMillis);
		append(new EntryContent.MembershipContent(log.membership()), nowMillis);
	}

	// access

	boolean isHandingOver() {
		return this.transfer.isPresent();
	}

	/**
	 * Tells whether an entry of this term is committed. Before that the leader does not
	 * know which entries of earlier terms are.
	 * @return whether the first entry of the term is committed
	 */
	boolean hasCommittedEntryOfTerm() {
		return this.log.commitIndex() >= this.firstIndex;
	}

	/**
	 * Tells whether a majority has answered a message that was sent within an election
	 * timeout.
	 * @param nowMillis the time
	 * @return whether this member may still answer as leader
	 */
	boolean hasMajorityContact(long nowMillis) {
		long oldestMillis = nowMillis - contactLimitMillis(nowMillis);
		return this.log.membership().isMajority((id) -> lastContactMillis(id, nowMillis) >= oldestMillis);
	}

	/**
	 * Returns when the next heartbeat, the end of a hand-over or the loss of the majority
	 * is due.
	 * @param nowMillis the time
	 * @return the earliest of these times
	 */
	long nextDueMillis(long nowMillis) {
		long contactMillis = this.log.membership().majorityValue((id) -> lastContactMillis(id, nowMillis));
		long lossMillis = Math.max(contactMillis, 0) + contactLimitMillis(nowMillis) + 1;
		long transferMillis = this.transfer.map(Transfer::deadlineMillis).orElse(Long.MAX_VALUE);
		return Math.min(this.nextHeartbeatMillis, Math.min(lossMillis, transferMillis));
	}

	private long contactLimitMillis(long nowMillis) {
		return (long) this.electionBackoff.timeoutFactor(nowMillis) * this.settings.electionTimeoutMaximumMillis();
	}

	Optional<FollowerProgress> progress(MemberId id) {
		return Optional.ofNullable(this.progresses.get(id));
	}

	// events

	void tick(long nowMillis) {
		if (nowMillis >= this.nextHeartbeatMillis) {
			startHeartbeatRound(nowMillis);
		}
		this.transfer = this.transfer.filter((pending) -> nowMillis < pending.deadlineMillis());
	}

	long append(EntryContent content, long nowMillis) {
		LogEntry entry = new LogEntry(this.log.lastIndex() + 1, this.term, content);
		this.log.append(entry);
		if (content instanceof EntryContent.MembershipContent changed) {
			updateMembers(nowMillis);
			this.outbox.add(new Effect.MembershipChanged(changed.membership()));
		}
		this.log.writeIfIdle();
		replicateToIdle(nowMillis);
		return entry.index();
	}

	void onAppendReply(MemberId sender, ConsensusMessage.AppendReply reply, long nowMillis) {
		FollowerProgress progress = this.progresses.get(sender);
		progress.acknowledge(reply.round(), reply.sentMillis());
		if (reply.matched()) {
			progress.onMatch(reply.index());
		}
		else {
			progress.onMismatch(reply.index());
		}
		replicate(sender, progress, nowMillis);
		processAcknowledgements(nowMillis);
	}

	void onSnapshotReply(MemberId sender, ConsensusMessage.SnapshotReply reply, long nowMillis) {
		FollowerProgress progress = this.progresses.get(sender);
		progress.acknowledge(reply.round(), reply.sentMillis());
		if (progress.pendingSnapshot().filter((snapshot) -> snapshot.index() == reply.index()).isPresent()) {
			if (reply.installed()) {
				progress.finishSnapshot(reply.index());
			}
			else {
				progress.continueSnapshot(reply.nextOffsetBytes());
			}
		}
		replicate(sender, progress, nowMillis);
		processAcknowledgements(nowMillis);
	}

	/**
	 * Draws the conclusions from new acknowledgements: commits, confirms reads, promotes
	 * learners and hands over.
	 * @param nowMillis the time
	 */
	void processAcknowledgements(long nowMillis) {
		commitMajority();
		confirmReads(nowMillis);
		promoteLearner(nowMillis);
		completeTransfer();
	}

	void read(long readNumber, long nowMillis) {
		long index = Math.max(this.log.commitIndex(), this.firstIndex);
		boolean roundIsIdle = isAcknowledged(this.round);
		this.pendingReads.add(new PendingRead(readNumber, index, this.round + 1));
		if (roundIsIdle) {
			startHeartbeatRound(nowMillis);
		}
		confirmReads(nowMillis);
	}

	void refuseReads() {
		this.pendingReads.forEach((read) -> this.outbox.add(new Effect.ReadRefused(read.number())));
		this.pendingReads.clear();
	}

	/**
	 * Chooses the voter that is furthest and stops taking proposals until it has taken
	 * over or an election timeout has passed.
	 * @param nowMillis the time
	 */
	void handOver(long nowMillis) {
		if (this.transfer.isPresent()) {
			return;
		}
		Optional<MemberId> best = this.log.membership()
			.voters()
			.stream()
			.map(Member::id)
			.filter(this.progresses::containsKey)
			.max((left, right) -> Long.compare(matchIndex(left), matchIndex(right)));
		long deadlineMillis = nowMillis + this.settings.electionTimeoutMinimumMillis();
		this.transfer = best.map((target) -> new Transfer(target, deadlineMillis, false));
		completeTransfer();
	}

	/**
	 * Hands over while the disk hangs.
	 * @param diskHangs whether the disk hangs now
	 * @param nowMillis the time
	 * @return whether nobody could take over, so that this member must step down
	 */
	boolean mustStepDown(boolean diskHangs, long nowMillis) {
		if (diskHangs && !this.handOverAttempted) {
			handOver(nowMillis);
		}
		this.handOverAttempted = diskHangs;
		return diskHangs && this.transfer.filter((pending) -> nowMillis < pending.deadlineMillis()).isEmpty();
	}

	// helpers

	private void updateMembers(long nowMillis) {
		Membership membership = this.log.membership();
		this.progresses.keySet().removeIf((id) -> membership.find(id).isEmpty());
		for (Member member : membership.members()) {
			if (!member.id().equals(this.self)) {
				this.progresses.computeIfAbsent(member.id(),
						(id) -> new FollowerProgress(this.log.lastIndex() + 1, nowMillis));
			}
		}
	}

	private long lastContactMillis(MemberId id, long nowMillis) {
		return id.equals(this.self) ? nowMillis : this.progresses.get(id).ackedSentMillis();
	}

	private long matchIndex(MemberId id) {
		return id.equals(this.self) ? this.log.syncedIndex() : this.progresses.get(id).matchIndex();
	}

	private boolean isAcknowledged(long minimumRound) {
		return this.log.membership()
			.isMajority((id) -> id.equals(this.self) || this.progresses.get(id).ackedRound() >= minimumRound);
	}

	private void commitMajority() {
		long index = this.log.membership().majorityValue(this::matchIndex);
		if (index > this.log.commitIndex() && this.log.matches(index, this.term)) {
			this.log.commit(index);
		}
	}

	private void confirmReads(long nowMillis) {
		List<PendingRead> confirmed = this.pendingReads.stream().filter(this::isConfirmed).toList();
		this.pendingReads.removeAll(confirmed);
		confirmed.forEach((read) -> this.outbox.add(new Effect.ReadConfirmed(read.number(), read.index())));
		boolean waitForNextRound = this.pendingReads.stream().anyMatch((read) -> read.round() > this.round);
		if (waitForNextRound && isAcknowledged(this.round)) {
			startHeartbeatRound(nowMillis);
		}
	}

	private boolean isConfirmed(PendingRead read) {
		return read.round() <= this.round && isAcknowledged(read.round()) && this.log.commitIndex() >= read.index();
	}

	private void promoteLearner(long nowMillis) {
		boolean changeIsOpen = this.log.membershipIndex() > this.log.commitIndex();
		if (changeIsOpen || isHandingOver()) {
			return;
		}
		Membership membership = this.log.membership();
		Optional<Member> caughtUp = membership.members()
			.stream()
			.filter((member) -> !member.role().countsForMajority())
			.filter((member) -> matchIndex(member.id()) >= this.log.commitIndex())
			.findFirst();
		caughtUp.ifPresent((learner) -> append(
				new EntryContent.MembershipContent(membership.with(learner.withRole(MemberRole.VOTER))), nowMillis));
	}

	private void completeTransfer() {
		Optional<Transfer> ready = this.transfer.filter((pending) -> !pending.requested())
			.filter((pending) -> matchIndex(pending.target()) == this.log.lastIndex())
			// Else the senders of uncommitted proposals would not learn their fate.
			.filter((pending) -> this.log.commitIndex() == this.log.lastIndex());
		ready.ifPresent((pending) -> {
			this.transfer = Optional.of(new Transfer(pending.target(), pending.deadlineMillis(), true));
			send(pending.target(), new ConsensusMessage.TimeoutNow(this.term));
		});
	}

	private void startHeartbeatRound(long nowMillis) {
		this.round++;
		this.nextHeartbeatMillis = nowMillis + this.settings.heartbeatMillis();
		long staleMillis = nowMillis - 2L * this.settings.heartbeatMillis();
		this.progresses.forEach((id, progress) -> {
			if (progress.isInFlight() && !progress.isInFlightSince(staleMillis)) {
				sendHeartbeat(id, progress.matchIndex(), nowMillis);
			}
			else {
				sendNext(id, progress, nowMillis);
			}
		});
	}

	private void replicateToIdle(long nowMillis) {
		this.progresses.forEach((id, progress) -> replicate(id, progress, nowMillis));
	}

	private void replicate(MemberId id, FollowerProgress progress, long nowMillis) {
		if (!progress.isInFlight() && progress.nextIndex() <= this.log.lastIndex()) {
			sendNext(id, progress, nowMillis);
		}
	}

	private void sendNext(MemberId id, FollowerProgress progress, long nowMillis) {
		if (progress.pendingSnapshot().isPresent() || progress.nextIndex() <= this.log.baseIndex()) {
			sendChunk(id, progress, nowMillis);
			return;
		}
		List<LogEntry> entries = this.log.slice(progress.nextIndex(), this.settings.maximumAppendBytes());
		if (!entries.isEmpty()) {
			progress.markInFlight(nowMillis);
		}
		sendEntries(id, progress.nextIndex() - 1, entries, nowMillis);
	}

	// Index 0 matches every log, so a follower that awaits a snapshot does not refuse it.
	private void sendHeartbeat(MemberId id, long matchIndex, long nowMillis) {
		boolean isKept = matchIndex >= this.log.baseIndex();
		sendEntries(id, isKept ? matchIndex : 0, List.of(), nowMillis);
	}

	private void sendEntries(MemberId id, long previousIndex, List<LogEntry> entries, long nowMillis) {
		long previousTerm = (previousIndex != 0) ? this.log.term(previousIndex).orElseThrow() : 0;
		send(id, new ConsensusMessage.AppendRequest(this.term, previousIndex, previousTerm, entries,
				this.log.commitIndex(), this.round, nowMillis));
	}

	private void sendChunk(MemberId id, FollowerProgress progress, long nowMillis) {
		if (progress.pendingSnapshot().isEmpty()) {
			progress.startSnapshot(this.log.snapshot());
		}
		Snapshot snapshot = progress.pendingSnapshot().get();
		byte[] state = snapshot.state().bytes();
		int offsetBytes = progress.snapshotOffsetBytes();
		int endBytes = Math.min(offsetBytes + this.settings.snapshotChunkBytes(), state.length);
		Payload part = Payload.of(Arrays.copyOfRange(state, offsetBytes, endBytes));
		progress.markInFlight(nowMillis);
		send(id, new ConsensusMessage.SnapshotChunk(this.term, snapshot.index(), snapshot.term(),
				snapshot.membershipIndex(), snapshot.membership(), offsetBytes, state.length, part, this.round,
				nowMillis));
	}

	private void send(MemberId id, ConsensusMessage message) {
		this.outbox.add(new Effect.Send(id, this.log.membershipIndex(), message));
	}

	private record PendingRead(long number, long index, long round) {

	}

	private record Transfer(MemberId target, long deadlineMillis, boolean requested) {

	}

}
