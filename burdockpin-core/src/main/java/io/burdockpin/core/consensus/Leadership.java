package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.Payload;

/**
 * State and duties of the leader during one term: replication, commits, reads and
 * leadership transfer. Mutable; owned by one replica and discarded when it steps down.
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

	/** Index of the first entry of this term. Reads wait until it is committed. */
	private final long firstIndex;

	private long round;

	private long nextHeartbeatMillis;

	private Optional<Transfer> transfer = Optional.empty();

	/**
	 * End of the newest permission to send. It is granted by a confirmed read and lasts
	 * for the minimum election timeout from the request of that read.
	 */
	private long permittedUntilMillis = Long.MIN_VALUE;

	/** Whether a leadership transfer was started because the disk hangs. */
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
	 * Tells whether proposals are rejected because of a leadership transfer. While the
	 * permission to send runs out, proposals are still accepted.
	 * @param nowMillis the current monotonic time
	 * @return {@code true} if the successor may be asked to stand for election
	 */
	boolean rejectsProposals(long nowMillis) {
		return this.transfer.filter((pending) -> nowMillis >= this.permittedUntilMillis).isPresent();
	}

	/**
	 * Tells whether the first entry of this term is committed. Until then the leader does
	 * not know which entries of earlier terms are committed.
	 * @return {@code true} if an entry of this term is committed
	 */
	boolean hasCommittedEntryOfTerm() {
		return this.log.commitIndex() >= this.firstIndex;
	}

	/**
	 * Tells whether a majority has acknowledged messages that were sent within the last
	 * election timeout.
	 * @param nowMillis the current monotonic time
	 * @return {@code false} if this member must step down
	 */
	boolean hasMajorityContact(long nowMillis) {
		long oldestMillis = nowMillis - contactLimitMillis(nowMillis);
		return this.log.membership().isMajority((id) -> lastContactMillis(id, nowMillis) >= oldestMillis);
	}

	/**
	 * Returns the earliest time at which the next heartbeat is due, a leadership transfer
	 * times out, or contact with the majority counts as lost.
	 * @param nowMillis the current monotonic time
	 * @return the due time by the monotonic clock, in milliseconds
	 */
	long nextDueMillis(long nowMillis) {
		long contactMillis = this.log.membership().majorityValue((id) -> lastContactMillis(id, nowMillis));
		long lossMillis = Math.max(contactMillis, 0) + contactLimitMillis(nowMillis) + 1;
		long transferMillis = this.transfer
			.map((pending) -> pending.nextDueMillis(nowMillis, this.permittedUntilMillis))
			.orElse(Long.MAX_VALUE);
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
		this.transfer = this.transfer.filter((pending) -> pending.requested() || nowMillis < pending.deadlineMillis());
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
	 * Evaluates new acknowledgements: commits entries, confirms reads, promotes a learner
	 * that has caught up and completes a leadership transfer.
	 * @param nowMillis the current monotonic time
	 */
	void processAcknowledgements(long nowMillis) {
		commitMajority();
		confirmReads(nowMillis);
		promoteLearner(nowMillis);
		completeTransfer(nowMillis);
	}

	void read(long readNumber, long nowMillis) {
		long index = Math.max(this.log.commitIndex(), this.firstIndex);
		boolean isRoundComplete = isAcknowledged(this.round);
		this.pendingReads.add(new PendingRead(readNumber, index, this.round + 1, nowMillis));
		if (isRoundComplete) {
			startHeartbeatRound(nowMillis);
		}
		confirmReads(nowMillis);
	}

	void refuseReads() {
		this.pendingReads.forEach((read) -> this.outbox.add(new Effect.ReadRefused(read.number())));
		this.pendingReads.clear();
	}

	/**
	 * Starts a leadership transfer to the voter with the highest match index among those
	 * that were in contact within the last election timeout. No further permission to
	 * send is granted, and that voter is asked to stand for election once the permissions
	 * granted before have ended, because the others vote for it although they have just
	 * heard this leader. Proposals are rejected from then on. If the voter cannot be
	 * asked within an election timeout, this leader continues.
	 * @param nowMillis the current monotonic time
	 */
	void handOver(long nowMillis) {
		startTransfer(Math.max(nowMillis, this.permittedUntilMillis), nowMillis);
	}

	/**
	 * Starts a leadership transfer when the disk hangs.
	 * @param diskHangs whether the disk hangs at present
	 * @param nowMillis the current monotonic time
	 * @return whether the disk hangs and no transfer is pending, or a successor that was
	 * asked to stand for election has not taken over; this member must step down then
	 */
	boolean mustStepDown(boolean diskHangs, long nowMillis) {
		// The request may still be on its way, so this leader must not continue.
		if (this.transfer.filter((pending) -> pending.requested() && nowMillis >= pending.deadlineMillis())
			.isPresent()) {
			return true;
		}
		if (diskHangs && !this.handOverAttempted) {
			// Without the disk nothing is committed, so the transfer gets no more time.
			startTransfer(nowMillis, nowMillis);
		}
		this.handOverAttempted = diskHangs;
		return diskHangs && this.transfer.filter((pending) -> nowMillis < pending.deadlineMillis()).isEmpty();
	}

	// helpers

	private void startTransfer(long startMillis, long nowMillis) {
		if (this.transfer.isPresent()) {
			return;
		}
		Optional<MemberId> best = this.log.membership()
			.voters()
			.stream()
			.map(Member::id)
			.filter(this.progresses::containsKey)
			// A voter that does not answer would leave the group without a leader.
			.filter((id) -> hasAnsweredRecently(id, nowMillis))
			.max((left, right) -> Long.compare(matchIndex(left), matchIndex(right)));
		long deadlineMillis = startMillis + this.settings.electionTimeoutMinimumMillis();
		this.transfer = best.map((target) -> new Transfer(target, deadlineMillis, false));
		completeTransfer(nowMillis);
	}

	private boolean hasAnsweredRecently(MemberId id, long nowMillis) {
		return lastContactMillis(id, nowMillis) >= nowMillis - this.settings.electionTimeoutMinimumMillis();
	}

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
		boolean permitsSending = !isHandingOver();
		confirmed.forEach((read) -> {
			if (permitsSending) {
				this.permittedUntilMillis = Math.max(this.permittedUntilMillis,
						read.requestedMillis() + this.settings.electionTimeoutMinimumMillis());
			}
			this.outbox.add(new Effect.ReadConfirmed(read.number(), read.index(), permitsSending));
		});
		boolean waitForNextRound = this.pendingReads.stream().anyMatch((read) -> read.round() > this.round);
		if (waitForNextRound && isAcknowledged(this.round)) {
			startHeartbeatRound(nowMillis);
		}
	}

	private boolean isConfirmed(PendingRead read) {
		return read.round() <= this.round && isAcknowledged(read.round()) && this.log.commitIndex() >= read.index();
	}

	private void promoteLearner(long nowMillis) {
		boolean isChangePending = this.log.membershipIndex() > this.log.commitIndex();
		if (isChangePending || isHandingOver()) {
			return;
		}
		Membership membership = this.log.membership();
		Optional<Member> caughtUp = membership.members()
			.stream()
			.filter((member) -> !member.role().countsForMajority())
			.filter((member) -> matchIndex(member.id()) >= this.log.commitIndex())
			// As a voter, a learner that is already gone would only raise the majority.
			.filter((member) -> lastContactMillis(member.id(), nowMillis) >= nowMillis - contactLimitMillis(nowMillis))
			.findFirst();
		caughtUp.ifPresent((learner) -> append(
				new EntryContent.MembershipContent(membership.with(learner.withRole(MemberRole.VOTER))), nowMillis));
	}

	private void completeTransfer(long nowMillis) {
		Optional<Transfer> ready = this.transfer
			.filter((pending) -> !pending.requested() && nowMillis >= this.permittedUntilMillis)
			.filter((pending) -> matchIndex(pending.target()) == this.log.lastIndex())
			// Otherwise the proposers of uncommitted entries would get no result.
			.filter((pending) -> this.log.commitIndex() == this.log.lastIndex());
		ready.ifPresent((pending) -> {
			this.transfer = Optional.of(new Transfer(pending.target(), pending.deadlineMillis(), true));
			send(pending.target(), new ConsensusMessage.TimeoutNow(this.term));
		});
	}

	private void startHeartbeatRound(long nowMillis) {
		this.round++;
		this.nextHeartbeatMillis = nowMillis + this.settings.heartbeatMillis();
		this.progresses.forEach((id, progress) -> {
			if (progress.isInFlight()) {
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

	// Index 0 matches every log, so a follower that waits for a snapshot does not reject
	// the heartbeat.
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

	private record PendingRead(long number, long index, long round, long requestedMillis) {

	}

	private record Transfer(MemberId target, long deadlineMillis, boolean requested) {

		private long nextDueMillis(long nowMillis, long permittedUntilMillis) {
			return (nowMillis < permittedUntilMillis) ? permittedUntilMillis : this.deadlineMillis;
		}

	}

}
