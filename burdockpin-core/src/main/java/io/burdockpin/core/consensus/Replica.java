package io.burdockpin.core.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.Payload;

/**
 * Consensus state machine of one member of a replicated log: leader election with
 * pre-vote, replication, linearizable reads and membership changes, following Raft. Does
 * no I/O: it handles events together with the time of a monotonic clock, and collects
 * effects that the owner drains and executes in order. Mutable; owned by one actor.
 */
public final class Replica {

	/**
	 * A pre-vote without a majority is repeated after a quarter to a half of the minimum
	 * election timeout. It changes no term, so it disturbs no other candidate.
	 */
	private static final int PRE_VOTE_DIVISOR = 4;

	private final MemberId self;

	private final ReplicaSettings settings;

	private final RandomGenerator random;

	private final ElectionBackoff electionBackoff = new ElectionBackoff();

	private final Outbox outbox = new Outbox();

	private final ReplicaLog log;

	private final HangingWriteDetector hangingWriteDetector;

	private final Set<MemberId> grantedVotes = new HashSet<>();

	private Role role = Role.FOLLOWER;

	private long term;

	private Optional<MemberId> votedFor;

	private Optional<MemberId> leader = Optional.empty();

	private Optional<Leadership> leadership = Optional.empty();

	private Optional<SnapshotAssembly> snapshotAssembly = Optional.empty();

	/** Write of this candidate's own vote, which counts only once it is synced. */
	private long ownVoteNumber;

	private long lastLeaderContactMillis;

	private long electionDeadlineMillis;

	// life cycle

	/**
	 * Creates a follower from the durable state of a member.
	 * @param settings timeouts and size limits
	 * @param durable the content of the data folder
	 * @param random source of the randomized election timeouts
	 * @param nowMillis the current monotonic time
	 */
	public Replica(ReplicaSettings settings, DurableState durable, RandomGenerator random, long nowMillis) {
		this.self = durable.self();
		this.settings = settings;
		this.random = random;
		this.term = durable.term();
		this.votedFor = durable.votedFor();
		this.log = new ReplicaLog(this.outbox, settings, durable.snapshot(), durable.entries());
		this.hangingWriteDetector = new HangingWriteDetector(settings.hangingWriteMillis());
		recordLeaderContact(nowMillis);
		this.outbox.add(new Effect.MembershipChanged(this.log.membership()));
	}

	// access

	/**
	 * Returns and clears the collected effects.
	 * @return the effects in the order in which they must be executed
	 */
	public List<Effect> drainEffects() {
		return this.outbox.drain();
	}

	/**
	 * Returns the current status.
	 * @return an immutable copy
	 */
	public ReplicaStatus status() {
		return new ReplicaStatus(this.self, this.role, this.term, this.leader, this.log.commitIndex(),
				this.log.lastIndex(), this.log.membershipIndex(), this.log.membership());
	}

	/**
	 * Tells whether this member had contact with a leader, or with a majority if it leads
	 * itself, within an election timeout.
	 * @param nowMillis the current monotonic time
	 * @return whether a majority is likely to be reachable
	 */
	public boolean hasLeaderContact(long nowMillis) {
		return this.leadership.map((leading) -> leading.hasMajorityContact(nowMillis))
			.orElseGet(() -> this.leader.isPresent() && isLeaderContactRecent(nowMillis));
	}

	/**
	 * Returns the replication progress of another member.
	 * @param id identity of the member
	 * @return the highest index known to be synced on that member, empty unless this
	 * member leads
	 */
	public OptionalLong matchIndex(MemberId id) {
		return this.leadership.flatMap((leading) -> leading.progress(id))
			.map((progress) -> OptionalLong.of(progress.matchIndex()))
			.orElseGet(OptionalLong::empty);
	}

	/**
	 * Returns the time since the last contact with another member.
	 * @param id identity of the member
	 * @param nowMillis the current monotonic time
	 * @return milliseconds since the newest acknowledged message was sent, empty unless
	 * this member leads
	 */
	public OptionalLong millisSinceContact(MemberId id, long nowMillis) {
		return this.leadership.flatMap((leading) -> leading.progress(id))
			.map((progress) -> OptionalLong.of(nowMillis - progress.ackedSentMillis()))
			.orElseGet(OptionalLong::empty);
	}

	/**
	 * Tells whether a write of this member has been pending for too long. Such a member
	 * does not start elections.
	 * @param nowMillis the current monotonic time
	 * @return whether the disk seems to hang
	 */
	public boolean isDiskHanging(long nowMillis) {
		return this.hangingWriteDetector.isHanging(this.outbox.syncedNumber(), nowMillis);
	}

	/**
	 * Returns when {@link #tick} must be called next. Any event may change this time.
	 * @param nowMillis the current monotonic time
	 * @return the due time by the monotonic clock; may be in the past
	 */
	public long nextDueMillis(long nowMillis) {
		long roleDueMillis = this.leadership.map((leading) -> leading.nextDueMillis(nowMillis))
			.orElse(this.electionDeadlineMillis);
		return Math.min(roleDueMillis, this.hangingWriteDetector.nextDueMillis(this.outbox.issuedNumber(),
				this.outbox.syncedNumber(), nowMillis));
	}

	/**
	 * Tells whether enough entries have been committed since the last snapshot to take a
	 * new one.
	 * @return whether the owner should call {@link #compact}
	 */
	public boolean needsSnapshot() {
		return this.log.commitIndex() - this.log.snapshot().index() >= this.settings.snapshotEntries()
				|| this.log.committedBytes() >= this.settings.snapshotBytes();
	}

	// events

	/**
	 * Handles timeouts. Must be called at the time given by {@link #nextDueMillis};
	 * additional calls are harmless.
	 * @param nowMillis the current monotonic time
	 */
	public void tick(long nowMillis) {
		checkLeadership(nowMillis);
		this.role.tick(this, nowMillis);
		processAcknowledgements(nowMillis);
	}

	/**
	 * Handles a message from another member.
	 * @param envelope the message, its sender and its receiver
	 * @param nowMillis the current monotonic time
	 */
	public void receive(ConsensusEnvelope envelope, long nowMillis) {
		checkLeadership(nowMillis);
		if (!isAcceptable(envelope)) {
			return;
		}
		ConsensusMessage message = envelope.message();
		if (message instanceof ConsensusMessage.VoteRequest request) {
			onVoteRequest(envelope.sender(), request, nowMillis);
			return;
		}
		if (message.term() > this.term && !isGrantedPreVote(message)) {
			becomeFollower(message.term(), nowMillis);
		}
		dispatch(envelope.sender(), message, nowMillis);
	}

	/**
	 * Handles the completion of all writes up to a number.
	 * @param number sequence number of the newest synced write
	 * @param nowMillis the current monotonic time
	 */
	public void onSynced(long number, long nowMillis) {
		this.outbox.onSynced(number);
		checkLeadership(nowMillis);
		this.log.onSynced(number);
		countOwnVote(nowMillis);
		if (this.leadership.isPresent()) {
			this.log.writeIfIdle();
		}
		processAcknowledgements(nowMillis);
	}

	/**
	 * Proposes a command.
	 * @param payload the encoded command
	 * @param nowMillis the current monotonic time
	 * @return the log index, empty if the command was certainly not proposed
	 */
	public OptionalLong propose(Payload payload, long nowMillis) {
		checkLeadership(nowMillis);
		if (!acceptsProposals(nowMillis)) {
			return OptionalLong.empty();
		}
		long index = this.leadership.get().append(new EntryContent.CommandContent(payload), nowMillis);
		processAcknowledgements(nowMillis);
		return OptionalLong.of(index);
	}

	/**
	 * Starts a linearizable read. Completed by {@link Effect.ReadConfirmed} or
	 * {@link Effect.ReadRefused}.
	 * @param readNumber number chosen by the caller to identify the read
	 * @param nowMillis the current monotonic time
	 */
	public void read(long readNumber, long nowMillis) {
		checkLeadership(nowMillis);
		if (this.leadership.isEmpty()) {
			this.outbox.add(new Effect.ReadRefused(readNumber));
			return;
		}
		this.leadership.get().read(readNumber, nowMillis);
	}

	/**
	 * Requests a membership change. Only one change can be in progress at a time.
	 * @param change the kind of change
	 * @param member the affected member; an added member joins as a learner
	 * @param nowMillis the current monotonic time
	 * @return whether the change was proposed
	 */
	public MembershipChangeResult changeMembership(MembershipChange change, Member member, long nowMillis) {
		checkLeadership(nowMillis);
		// The first entry of a term is a membership entry. Without this check, a change
		// right after an election would be rejected as if another one were in progress.
		if (!acceptsMembershipChanges()) {
			return changeResult(MembershipChangeResult.Kind.NOT_LEADER);
		}
		boolean isPending = this.log.membershipIndex() > this.log.commitIndex();
		if (change.isDone(this.log.membership(), member.id())) {
			return isPending
					? new MembershipChangeResult(MembershipChangeResult.Kind.PENDING, this.log.membershipIndex())
					: changeResult(MembershipChangeResult.Kind.ALREADY_DONE);
		}
		if (isPending) {
			return changeResult(MembershipChangeResult.Kind.BUSY);
		}
		if (member.id().host().equals(this.self.host())) {
			this.leadership.get().handOver(nowMillis);
			return changeResult(MembershipChangeResult.Kind.NOT_LEADER);
		}
		return change.applyTo(this.log.membership(), member.withRole(MemberRole.LEARNER))
			.filter((changed) -> !changed.voters().isEmpty())
			.map((changed) -> proposeMembership(changed, nowMillis))
			.orElseGet(() -> changeResult(MembershipChangeResult.Kind.REFUSED));
	}

	/**
	 * Starts a leadership transfer if this member is the leader.
	 * @param nowMillis the current monotonic time
	 */
	public void handOver(long nowMillis) {
		checkLeadership(nowMillis);
		this.leadership.ifPresent((leading) -> leading.handOver(nowMillis));
	}

	/**
	 * Compacts the log with a snapshot of the state machine.
	 * @param index the last index that was applied to the state machine
	 * @param state the state machine at that index, encoded
	 */
	public void compact(long index, Payload state) {
		if (index > this.log.snapshot().index()) {
			this.log.compact(this.log.snapshotAt(index, state));
		}
	}

	// elections

	void tickWithoutLeadership(long nowMillis) {
		if (nowMillis >= this.electionDeadlineMillis) {
			startPreVote(nowMillis);
		}
	}

	void tickAsLeader(long nowMillis) {
		this.leadership.ifPresent((leading) -> leading.tick(nowMillis));
	}

	private void checkLeadership(long nowMillis) {
		this.hangingWriteDetector.observe(this.outbox.issuedNumber(), this.outbox.syncedNumber(), nowMillis);
		boolean isHanging = isDiskHanging(nowMillis);
		boolean mustStepDown = this.leadership
			.filter((leading) -> !leading.hasMajorityContact(nowMillis) || leading.mustStepDown(isHanging, nowMillis))
			.isPresent();
		if (mustStepDown) {
			becomeFollower(this.term, nowMillis);
		}
	}

	private void startPreVote(long nowMillis) {
		restartElectionTimer(nowMillis);
		if (!this.log.membership().isVoter(this.self) || isDiskHanging(nowMillis)) {
			return;
		}
		this.grantedVotes.clear();
		this.grantedVotes.add(this.self);
		changeRole(Role.PRE_CANDIDATE, Optional.empty());
		int pauseMillis = this.settings.electionTimeoutMinimumMillis() / PRE_VOTE_DIVISOR;
		restartElectionTimer(pauseMillis, pauseMillis, nowMillis);
		requestVotes(this.term + 1, true, false);
		if (hasMajorityOfVotes()) {
			startElection(false, nowMillis);
		}
	}

	private void startElection(boolean transfer, long nowMillis) {
		restartElectionTimer(nowMillis);
		this.grantedVotes.clear();
		recordVote(this.term + 1, Optional.of(this.self));
		this.ownVoteNumber = this.outbox.issuedNumber();
		changeRole(Role.CANDIDATE, Optional.empty());
		requestVotes(this.term, false, transfer);
	}

	private void requestVotes(long requestedTerm, boolean preVote, boolean transfer) {
		ConsensusMessage request = new ConsensusMessage.VoteRequest(requestedTerm, preVote, transfer,
				this.log.lastIndex(), this.log.lastTerm());
		for (Member voter : this.log.membership().voters()) {
			if (!voter.id().equals(this.self)) {
				sendAfterSync(voter.id(), request);
			}
		}
	}

	private void countOwnVote(long nowMillis) {
		boolean isSynced = this.outbox.syncedNumber() >= this.ownVoteNumber;
		if (this.role == Role.CANDIDATE && isSynced) {
			addGrantedVote(this.self, nowMillis);
		}
	}

	private void addGrantedVote(MemberId voter, long nowMillis) {
		this.grantedVotes.add(voter);
		if (!hasMajorityOfVotes()) {
			return;
		}
		if (this.role == Role.PRE_CANDIDATE) {
			startElection(false, nowMillis);
		}
		else if (this.role == Role.CANDIDATE) {
			becomeLeader(nowMillis);
		}
	}

	private boolean hasMajorityOfVotes() {
		return this.log.membership().isMajority(this.grantedVotes::contains);
	}

	private void becomeLeader(long nowMillis) {
		this.electionBackoff.onLeader(this.term, nowMillis);
		changeRole(Role.LEADER, Optional.of(this.self));
		this.leadership = Optional.of(new Leadership(this.self, this.term, this.settings, this.electionBackoff,
				this.log, this.outbox, nowMillis));
		this.leadership.get().tick(nowMillis);
	}

	private void becomeFollower(long newTerm, long nowMillis) {
		if (this.leadership.isPresent()) {
			this.leadership.get().refuseReads();
			this.leadership = Optional.empty();
			this.log.writeUnwritten();
		}
		if (newTerm > this.term) {
			recordVote(newTerm, Optional.empty());
		}
		this.snapshotAssembly = Optional.empty();
		restartElectionTimer(nowMillis);
		changeRole(Role.FOLLOWER, Optional.empty());
	}

	private void follow(MemberId newLeader, long nowMillis) {
		if (this.leadership.isPresent()) {
			throw new IllegalStateException(
					"two leaders in term %d: %s and %s".formatted(this.term, this.self, newLeader));
		}
		this.electionBackoff.onLeader(this.term, nowMillis);
		recordLeaderContact(nowMillis);
		if (this.role != Role.FOLLOWER || !this.leader.equals(Optional.of(newLeader))) {
			this.snapshotAssembly = Optional.empty();
			changeRole(Role.FOLLOWER, Optional.of(newLeader));
		}
	}

	private void onVoteRequest(MemberId candidate, ConsensusMessage.VoteRequest request, long nowMillis) {
		boolean disruptsLeader = isLeaderContactRecent(nowMillis) && !request.transfer();
		if (request.preVote()) {
			boolean granted = !disruptsLeader && request.term() > this.term && mayVoteFor(request);
			long repliedTerm = granted ? request.term() : this.term;
			sendAfterSync(candidate, new ConsensusMessage.VoteReply(repliedTerm, true, granted));
			return;
		}
		if (disruptsLeader) {
			return;
		}
		if (request.term() > this.term) {
			becomeFollower(request.term(), nowMillis);
		}
		answerVote(candidate, request, nowMillis);
	}

	private void answerVote(MemberId candidate, ConsensusMessage.VoteRequest request, long nowMillis) {
		boolean isVoteAvailable = this.votedFor.isEmpty() || this.votedFor.equals(Optional.of(candidate));
		boolean granted = request.term() == this.term && isVoteAvailable && mayVoteFor(request);
		if (granted && this.votedFor.isEmpty()) {
			recordVote(this.term, Optional.of(candidate));
		}
		if (granted) {
			restartElectionTimer(nowMillis);
		}
		sendAfterSync(candidate, new ConsensusMessage.VoteReply(this.term, false, granted));
	}

	private boolean mayVoteFor(ConsensusMessage.VoteRequest request) {
		boolean isUpToDate = request.lastTerm() > this.log.lastTerm()
				|| (request.lastTerm() == this.log.lastTerm() && request.lastIndex() >= this.log.lastIndex());
		return isUpToDate && this.log.hasAdmitted(this.self);
	}

	private void onVoteReply(MemberId voter, ConsensusMessage.VoteReply reply, long nowMillis) {
		boolean answersPreVote = this.role == Role.PRE_CANDIDATE && reply.preVote() && reply.term() == this.term + 1;
		boolean answersVote = this.role == Role.CANDIDATE && !reply.preVote() && reply.term() == this.term;
		if (reply.granted() && (answersPreVote || answersVote)) {
			addGrantedVote(voter, nowMillis);
		}
	}

	private void onTimeoutNow(MemberId sender, ConsensusMessage.TimeoutNow message, long nowMillis) {
		boolean isFromLeader = message.term() == this.term && this.leader.equals(Optional.of(sender));
		boolean mayStartElection = this.log.membership().isVoter(this.self) && !isDiskHanging(nowMillis);
		if (isFromLeader && this.role == Role.FOLLOWER && mayStartElection) {
			startElection(true, nowMillis);
		}
	}

	// replication

	private void dispatch(MemberId sender, ConsensusMessage message, long nowMillis) {
		if (message instanceof ConsensusMessage.AppendRequest request) {
			onAppendRequest(sender, request, nowMillis);
		}
		else if (message instanceof ConsensusMessage.SnapshotChunk chunk) {
			onSnapshotChunk(sender, chunk, nowMillis);
		}
		else if (message instanceof ConsensusMessage.TimeoutNow request) {
			onTimeoutNow(sender, request, nowMillis);
		}
		else if (message instanceof ConsensusMessage.VoteReply reply) {
			onVoteReply(sender, reply, nowMillis);
		}
		else if (message.term() == this.term) {
			dispatchToLeadership(sender, message, nowMillis);
		}
	}

	private void dispatchToLeadership(MemberId sender, ConsensusMessage message, long nowMillis) {
		Optional<Leadership> leading = this.leadership.filter((current) -> current.progress(sender).isPresent());
		if (message instanceof ConsensusMessage.AppendReply reply) {
			leading.ifPresent((current) -> current.onAppendReply(sender, reply, nowMillis));
		}
		else if (message instanceof ConsensusMessage.SnapshotReply reply) {
			leading.ifPresent((current) -> current.onSnapshotReply(sender, reply, nowMillis));
		}
	}

	private void onAppendRequest(MemberId sender, ConsensusMessage.AppendRequest request, long nowMillis) {
		if (request.term() < this.term) {
			replyToAppend(sender, request, false, this.log.lastIndex() + 1);
			return;
		}
		follow(sender, nowMillis);
		long previousIndex = request.previousIndex();
		boolean isCommitted = previousIndex <= this.log.baseIndex();
		if (!isCommitted && !this.log.matches(previousIndex, request.previousTerm())) {
			replyToAppend(sender, request, false, mismatchHint(previousIndex));
			return;
		}
		storeEntries(request.entries());
		long matchedIndex = Math.max(previousIndex + request.entries().size(), this.log.baseIndex());
		this.log.commit(Math.min(request.commitIndex(), matchedIndex));
		replyToAppend(sender, request, true, matchedIndex);
	}

	private long mismatchHint(long previousIndex) {
		if (previousIndex > this.log.lastIndex()) {
			return this.log.lastIndex() + 1;
		}
		return this.log.firstIndexOfTermAt(previousIndex);
	}

	private void storeEntries(List<LogEntry> entries) {
		long membershipIndex = this.log.membershipIndex();
		this.log.store(entries);
		if (this.log.membershipIndex() != membershipIndex) {
			this.outbox.add(new Effect.MembershipChanged(this.log.membership()));
		}
	}

	private void replyToAppend(MemberId sender, ConsensusMessage.AppendRequest request, boolean matched, long index) {
		sendAfterSync(sender,
				new ConsensusMessage.AppendReply(this.term, matched, index, request.round(), request.sentMillis()));
	}

	private void onSnapshotChunk(MemberId sender, ConsensusMessage.SnapshotChunk chunk, long nowMillis) {
		if (chunk.term() < this.term) {
			replyToChunk(sender, chunk, 0, false);
			return;
		}
		follow(sender, nowMillis);
		if (chunk.index() <= this.log.commitIndex()) {
			replyToChunk(sender, chunk, chunk.totalBytes(), true);
			return;
		}
		if (this.snapshotAssembly.filter((current) -> current.continuesWith(sender, chunk)).isEmpty()) {
			this.snapshotAssembly = Optional.of(new SnapshotAssembly(sender, chunk));
		}
		addChunk(sender, this.snapshotAssembly.get(), chunk);
	}

	private void addChunk(MemberId sender, SnapshotAssembly current, ConsensusMessage.SnapshotChunk chunk) {
		current.add(chunk);
		if (current.isComplete()) {
			this.snapshotAssembly = Optional.empty();
			this.log.install(current.snapshot());
			this.outbox.add(new Effect.MembershipChanged(this.log.membership()));
		}
		replyToChunk(sender, chunk, current.receivedBytes(), current.isComplete());
	}

	private void replyToChunk(MemberId sender, ConsensusMessage.SnapshotChunk chunk, int nextOffsetBytes,
			boolean installed) {
		sendAfterSync(sender, new ConsensusMessage.SnapshotReply(this.term, chunk.index(), nextOffsetBytes, installed,
				chunk.round(), chunk.sentMillis()));
	}

	// helpers

	private boolean isAcceptable(ConsensusEnvelope envelope) {
		if (!envelope.receiver().equals(this.self)) {
			return false;
		}
		MemberId sender = envelope.sender();
		Membership membership = this.log.membership();
		if (envelope.message() instanceof ConsensusMessage.Reply) {
			return membership.find(sender).isPresent();
		}
		boolean isReplaced = membership.find(sender.host()).filter((known) -> !known.id().equals(sender)).isPresent();
		return !isReplaced || envelope.membershipIndex() >= this.log.membershipIndex();
	}

	private static boolean isGrantedPreVote(ConsensusMessage message) {
		return message instanceof ConsensusMessage.VoteReply reply && reply.preVote() && reply.granted();
	}

	private boolean acceptsMembershipChanges() {
		return this.leadership.filter((leading) -> !leading.isHandingOver())
			.filter(Leadership::hasCommittedEntryOfTerm)
			.isPresent();
	}

	private boolean acceptsProposals(long nowMillis) {
		return this.leadership.filter((leading) -> !leading.rejectsProposals(nowMillis)).isPresent();
	}

	private MembershipChangeResult proposeMembership(Membership changed, long nowMillis) {
		long index = this.leadership.get().append(new EntryContent.MembershipContent(changed), nowMillis);
		processAcknowledgements(nowMillis);
		return new MembershipChangeResult(MembershipChangeResult.Kind.PROPOSED, index);
	}

	private MembershipChangeResult changeResult(MembershipChangeResult.Kind kind) {
		return new MembershipChangeResult(kind, 0);
	}

	private void processAcknowledgements(long nowMillis) {
		this.leadership.ifPresent((leading) -> leading.processAcknowledgements(nowMillis));
	}

	private void recordVote(long newTerm, Optional<MemberId> candidate) {
		this.term = newTerm;
		this.votedFor = candidate;
		this.outbox.writeVote(newTerm, candidate);
	}

	private void changeRole(Role newRole, Optional<MemberId> newLeader) {
		this.role = newRole;
		this.leader = newLeader;
		this.outbox.add(new Effect.LeadershipChanged(newRole, this.term, newLeader));
	}

	private void recordLeaderContact(long nowMillis) {
		this.lastLeaderContactMillis = nowMillis;
		restartElectionTimer(nowMillis);
	}

	private boolean isLeaderContactRecent(long nowMillis) {
		return this.leadership.isPresent()
				|| nowMillis - this.lastLeaderContactMillis < this.settings.electionTimeoutMinimumMillis();
	}

	private void restartElectionTimer(long nowMillis) {
		int minimumMillis = this.settings.electionTimeoutMinimumMillis();
		restartElectionTimer(minimumMillis, this.settings.electionTimeoutMaximumMillis() - minimumMillis, nowMillis);
	}

	private void restartElectionTimer(int minimumMillis, int spreadMillis, long nowMillis) {
		int timeoutMillis = minimumMillis + this.random.nextInt(spreadMillis);
		this.electionDeadlineMillis = nowMillis + (long) this.electionBackoff.timeoutFactor(nowMillis) * timeoutMillis;
	}

	private void sendAfterSync(MemberId receiver, ConsensusMessage message) {
		this.outbox.sendAfterSync(new Effect.Send(receiver, this.log.membershipIndex(), message));
	}

}
