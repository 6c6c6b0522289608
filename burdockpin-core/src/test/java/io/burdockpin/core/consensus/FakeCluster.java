package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;

/**
 * Simulates a group of replicas in virtual time, with fake disks and a network that
 * drops, delays and duplicates messages. Deterministic for a given seed.
 */
final class FakeCluster {

	static final ReplicaSettings SETTINGS = new ReplicaSettings(100, 500, 1000, 12, 10_000, 3, 300, 16, 1500);

	private static final long TICK_MILLIS = 25;

	private final Random random;

	private final InjectedBug injectedBug;

	private final Invariants invariants = new Invariants();

	private final TreeMap<HostName, FakeMember> members = new TreeMap<>();

	private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledEvent::atMillis).thenComparingLong(ScheduledEvent::sequence));

	/**
	 * All disks by member identity, including wiped ones with their last content. A
	 * leader may correctly count an acknowledgement that was in flight when its sender
	 * lost the disk; with seed 5 the disk is lost one millisecond before the commit.
	 */
	private final Map<MemberId, List<FakeDisk>> disks = new HashMap<>();

	private final Set<List<HostName>> cutLinks = new HashSet<>();

	private final Map<Long, Long> reads = new HashMap<>();

	/** Request times of the reads. */
	private final Map<Long, Long> readMillis = new HashMap<>();

	private final Map<List<Object>, Long> matches = new HashMap<>();

	private long nowMillis;

	private long sequence;

	private long lastNumber;

	/** Removes surplus voters as soon as that is possible. */
	private Optional<GroupRepair> groupRepair = Optional.empty();

	int lossPercent;

	int maximumSyncMillis = 10;

	FakeCluster(long seed, InjectedBug injectedBug, int size) {
		this.random = new Random(seed);
		this.injectedBug = injectedBug;
		List<Member> voters = new ArrayList<>();
		for (int index = 1; index <= size; index++) {
			voters.add(new Member(new MemberId(new HostName("c" + index), 1), MemberRole.VOTER, ""));
		}
		Membership membership = new Membership(voters);
		voters.forEach((voter) -> create(voter.id(), membership));
	}

	// access

	Invariants invariants() {
		return this.invariants;
	}

	Collection<FakeMember> members() {
		return this.members.values();
	}

	FakeMember member(String host) {
		return this.members.get(new HostName(host));
	}

	Random random() {
		return this.random;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	/** Returns the leader of the newest term. */
	Optional<FakeMember> leader() {
		return members().stream()
			.filter(FakeMember::isLeader)
			.max(Comparator.comparingLong((member) -> member.replica.get().status().term()));
	}

	// time

	void runFor(long millis) {
		long endMillis = this.nowMillis + millis;
		while (!this.eventQueue.isEmpty() && this.eventQueue.peek().atMillis() <= endMillis
				&& this.invariants.violations().isEmpty()) {
			ScheduledEvent next = this.eventQueue.poll();
			this.nowMillis = Math.max(this.nowMillis, next.atMillis());
			next.action().run();
		}
		this.nowMillis = endMillis;
	}

	void after(long delayMillis, Runnable action) {
		this.sequence++;
		this.eventQueue.add(new ScheduledEvent(this.nowMillis + delayMillis, this.sequence, action));
	}

	// actions

	FakeMember create(MemberId id, Membership membership) {
		FakeMember member = new FakeMember(id.host(), createDisk(id, membership));
		this.members.put(id.host(), member);
		start(member);
		return member;
	}

	void start(FakeMember member) {
		if (member.replica.isPresent()) {
			return;
		}
		member.processIncarnation++;
		member.syncScheduled = false;
		member.appliedIndex = member.disk.state().snapshot().index();
		// A crash may lose an unsynced term, but not one that was sent in a message.
		this.invariants.checkNotDecreasing(member.id(), "highest sent term", member.highestSentTerm,
				member.disk.state().term());
		member.lastTerm = member.disk.state().term();
		Replica replica = new Replica(SETTINGS, member.disk.state(), new Random(this.random.nextLong()),
				this.nowMillis);
		member.replica = Optional.of(replica);
		long incarnation = member.processIncarnation;
		after(this.random.nextInt((int) TICK_MILLIS), () -> tick(member, incarnation));
		executeEffects(member);
	}

	void crash(FakeMember member) {
		member.replica = Optional.empty();
		member.processIncarnation++;
		member.frozenUntilMillis = 0;
		member.permittedUntilMillis = 0;
		member.disk.crash(this.random.nextInt(2));
	}

	/**
	 * Wipes the disk of a member and restarts it with a new incarnation that is not part
	 * of any membership.
	 */
	void wipeDisk(FakeMember member) {
		crash(member);
		this.lastNumber++;
		boolean keepsIdentity = this.injectedBug == InjectedBug.WIPED_MEMBER_VOTES;
		MemberId id = keepsIdentity ? member.id() : new MemberId(member.host(), 1000 + this.lastNumber);
		Membership known = keepsIdentity ? initialMembership() : Membership.EMPTY;
		member.disk = createDisk(id, known);
		member.highestSentTerm = 0;
		start(member);
	}

	void freeze(FakeMember member, long millis) {
		member.frozenUntilMillis = this.nowMillis + millis;
	}

	void hangDisk(FakeMember member, long millis) {
		member.diskHangsUntilMillis = this.nowMillis + millis;
	}

	void cutLink(HostName from, HostName to) {
		this.cutLinks.add(List.of(from, to));
	}

	void isolate(FakeMember member) {
		for (FakeMember other : members()) {
			cutLink(member.host(), other.host());
			cutLink(other.host(), member.host());
		}
	}

	void heal() {
		this.cutLinks.clear();
	}

	boolean propose(FakeMember member) {
		this.lastNumber++;
		Payload payload = Payload.ofText("command " + this.lastNumber);
		return runIfAwake(member, (replica) -> replica.propose(payload, this.nowMillis).isPresent());
	}

	void read(FakeMember member) {
		this.lastNumber++;
		long readNumber = this.lastNumber;
		this.reads.put(readNumber, this.invariants.highestCommitted());
		this.readMillis.put(readNumber, this.nowMillis);
		if (this.injectedBug == InjectedBug.READ_WITHOUT_MAJORITY && member.isLeader()) {
			this.invariants.onReadConfirmed(member.id(), this.reads.get(readNumber),
					member.replica.get().status().commitIndex());
		}
		runIfAwake(member, (replica) -> {
			replica.read(readNumber, this.nowMillis);
			return true;
		});
	}

	Optional<MembershipChangeResult> change(MembershipChange change, MemberId id) {
		return leader().filter(this::isAwake).map((leader) -> {
			MembershipChangeResult result = leader.replica.get()
				.changeMembership(change, new Member(id, MemberRole.LEARNER, ""), this.nowMillis);
			executeEffects(leader);
			return result;
		});
	}

	/** Loses the host of a member for good. */
	void loseHost(FakeMember member) {
		crash(member);
		this.members.remove(member.host());
	}

	/** Starts a host with an empty disk that belongs to no group. */
	FakeMember startEmptyHost(String host) {
		this.lastNumber++;
		return create(new MemberId(new HostName(host), 1000 + this.lastNumber), Membership.EMPTY);
	}

	/**
	 * Lets all hosts that reach the leader ask it to join, as each does once a second.
	 */
	void requestAdmissions(GroupRepair repair, Map<HostName, String> dataCentres) {
		leader().filter(this::isAwake).ifPresent((leader) -> {
			for (FakeMember candidate : List.copyOf(members())) {
				if (isAwake(candidate) && !this.cutLinks.contains(List.of(candidate.host(), leader.host()))) {
					repair.decide(candidate.id(), contact(leader, dataCentres))
						.change()
						.ifPresent((change) -> change(change, candidate.id()));
				}
			}
			this.groupRepair = Optional.of(repair);
			removeSurplus(leader);
		});
	}

	void handOver() {
		leader().ifPresent((leader) -> runIfAwake(leader, (replica) -> {
			replica.handOver(this.nowMillis);
			return true;
		}));
	}

	// helpers

	private GroupContact contact(FakeMember leader, Map<HostName, String> dataCentres) {
		Replica replica = leader.replica.get();
		Membership membership = replica.status().membership();
		Map<MemberId, Long> silentMillis = new HashMap<>();
		membership.members()
			.forEach((member) -> replica.millisSinceContact(member.id(), this.nowMillis)
				.ifPresent((millis) -> silentMillis.put(member.id(), millis)));
		return new GroupContact(leader.id(), membership, silentMillis, dataCentres);
	}

	private Membership initialMembership() {
		return new Membership(List.of(1, 2, 3)
			.stream()
			.map((index) -> new Member(new MemberId(new HostName("c" + index), 1), MemberRole.VOTER, ""))
			.toList());
	}

	private FakeDisk createDisk(MemberId id, Membership membership) {
		FakeDisk disk = new FakeDisk(this.injectedBug, id, membership, this.invariants::onStored);
		this.disks.computeIfAbsent(id, (key) -> new ArrayList<>()).add(disk);
		return disk;
	}

	private boolean isAwake(FakeMember member) {
		return member.replica.isPresent() && this.nowMillis >= member.frozenUntilMillis;
	}

	private boolean runIfAwake(FakeMember member, Predicate<Replica> action) {
		if (!isAwake(member)) {
			return false;
		}
		boolean result = action.test(member.replica.get());
		executeEffects(member);
		return result;
	}

	private void tick(FakeMember member, long incarnation) {
		if (member.processIncarnation != incarnation) {
			return;
		}
		after(TICK_MILLIS, () -> tick(member, incarnation));
		runIfAwake(member, (replica) -> {
			replica.tick(this.nowMillis);
			return true;
		});
	}

	private void whenAwake(FakeMember member, long incarnation, Consumer<Replica> action) {
		if (member.processIncarnation != incarnation || member.replica.isEmpty()) {
			return;
		}
		if (!isAwake(member)) {
			after(member.frozenUntilMillis - this.nowMillis, () -> whenAwake(member, incarnation, action));
			return;
		}
		action.accept(member.replica.get());
		executeEffects(member);
	}

	private void executeEffects(FakeMember member) {
		Replica replica = member.replica.get();
		List<Effect> effects = replica.drainEffects();
		while (!effects.isEmpty()) {
			effects.forEach((effect) -> executeEffects(member, replica, effect));
			effects = replica.drainEffects();
		}
		checkStatus(member, replica.status());
		if (this.groupRepair.isPresent() && replica.status().role() == Role.LEADER) {
			removeSurplus(member);
		}
	}

	private void removeSurplus(FakeMember leader) {
		Replica replica = leader.replica.get();
		boolean isSettled = replica.status().membershipIndex() <= replica.status().commitIndex();
		this.groupRepair.filter((repair) -> isSettled)
			.flatMap((repair) -> repair.surplus(contact(leader, Map.of())))
			.map((member) -> replica.changeMembership(MembershipChange.REMOVE, member, this.nowMillis))
			.filter((result) -> result.kind() == MembershipChangeResult.Kind.PROPOSED)
			.ifPresent((result) -> executeEffects(leader));
	}

	private void executeEffects(FakeMember member, Replica replica, Effect effect) {
		if (effect instanceof Effect.Send send) {
			send(member, send);
		}
		else if (effect instanceof Effect.Apply apply) {
			apply.entries().forEach((entry) -> apply(member, entry));
			if (replica.needsSnapshot()) {
				replica.compact(member.appliedIndex, this.invariants.stateAt(member.appliedIndex));
			}
		}
		else if (effect instanceof Effect.Restore restore) {
			this.invariants.onRestored(member.id(), restore.snapshot());
			member.appliedIndex = restore.snapshot().index();
		}
		else if (effect instanceof Effect.ReadConfirmed read) {
			this.invariants.onReadConfirmed(member.id(), this.reads.get(read.readNumber()), member.appliedIndex);
			if (read.permitsSending()) {
				members().stream()
					.filter((other) -> other != member)
					.forEach((other) -> this.invariants.checkPermissionEnded(other.id(), member.id(),
							other.permittedUntilMillis, this.nowMillis));
				member.permittedUntilMillis = Math.max(member.permittedUntilMillis,
						this.readMillis.get(read.readNumber()) + SETTINGS.electionTimeoutMinimumMillis());
			}
		}
		else if (effect instanceof Effect.LeadershipChanged changed && changed.role() == Role.LEADER) {
			this.invariants.onElected(changed.term(), member.id());
		}
		else if (effect instanceof Effect.WriteVote || effect instanceof Effect.WriteEntries
				|| effect instanceof Effect.WriteSnapshot) {
			write(member, effect);
		}
	}

	private void apply(FakeMember member, LogEntry entry) {
		this.invariants.checkNotDecreasing(member.id(), "applied index + 1", member.appliedIndex + 1, entry.index());
		boolean isFirst = this.invariants.onApplied(member.id(), entry);
		member.appliedIndex = entry.index();
		if (isFirst) {
			Membership membership = member.replica.get().status().membership();
			this.invariants.onCommitted(entry, membership.isMajority((id) -> isOnDisk(id, entry)));
		}
	}

	private boolean isOnDisk(MemberId id, LogEntry entry) {
		return this.disks.getOrDefault(id, List.of()).stream().anyMatch((disk) -> disk.holds(entry));
	}

	private void checkStatus(FakeMember member, ReplicaStatus status) {
		this.invariants.checkNotDecreasing(member.id(), "term", member.lastTerm, status.term());
		member.lastTerm = status.term();
	}

	private void write(FakeMember member, Effect effect) {
		member.disk.add(effect);
		long incarnation = member.processIncarnation;
		if (this.injectedBug == InjectedBug.ACKNOWLEDGED_BEFORE_SYNC) {
			after(0, () -> whenAwake(member, incarnation,
					(replica) -> replica.onSynced(FakeDisk.number(effect), this.nowMillis)));
			after(200, () -> whenAwake(member, incarnation, (replica) -> member.disk.syncAll()));
		}
		else if (!member.syncScheduled) {
			member.syncScheduled = true;
			after(this.random.nextInt(this.maximumSyncMillis), () -> sync(member, incarnation));
		}
	}

	private void sync(FakeMember member, long incarnation) {
		long remainingHangMillis = member.diskHangsUntilMillis - this.nowMillis;
		if (remainingHangMillis > 0) {
			after(remainingHangMillis, () -> sync(member, incarnation));
			return;
		}
		whenAwake(member, incarnation, (replica) -> {
			member.syncScheduled = false;
			replica.onSynced(member.disk.syncAll(), this.nowMillis);
		});
	}

	private void send(FakeMember sender, Effect.Send send) {
		if (!isPreVote(send.message())) {
			sender.highestSentTerm = Math.max(sender.highestSentTerm, send.message().term());
		}
		ConsensusEnvelope envelope = new ConsensusEnvelope("test", sender.id(), send.receiver(), send.membershipIndex(),
				HybridTimestamp.ZERO, send.message());
		int copies = (this.random.nextInt(100) < this.lossPercent) ? this.random.nextInt(3) : 1;
		for (int copy = 0; copy < copies; copy++) {
			boolean isDelayed = this.random.nextInt(100) < this.lossPercent;
			after(this.random.nextInt(isDelayed ? 800 : 5), () -> deliver(envelope));
		}
	}

	private static boolean isPreVote(ConsensusMessage message) {
		return (message instanceof ConsensusMessage.VoteRequest request && request.preVote())
				|| (message instanceof ConsensusMessage.VoteReply reply && reply.preVote() && reply.granted());
	}

	private void deliver(ConsensusEnvelope envelope) {
		HostName to = envelope.receiver().host();
		FakeMember receiver = this.members.get(to);
		if (receiver == null || this.cutLinks.contains(List.of(envelope.sender().host(), to))) {
			return;
		}
		ConsensusEnvelope delivered = withInjectedBug(envelope);
		whenAwake(receiver, receiver.processIncarnation, (replica) -> replica.receive(delivered, this.nowMillis));
	}

	private ConsensusEnvelope withInjectedBug(ConsensusEnvelope envelope) {
		if (this.injectedBug != InjectedBug.OLDER_TERM_COMMITTED) {
			return envelope;
		}
		if (envelope.message() instanceof ConsensusMessage.AppendReply reply && reply.matched()) {
			this.matches.merge(List.of(envelope.receiver(), reply.term(), envelope.sender()), reply.index(), Math::max);
		}
		if (envelope.message() instanceof ConsensusMessage.AppendRequest request) {
			long majority = initialMembership()
				.majorityValue((id) -> id.equals(envelope.sender()) ? request.previousIndex() + request.entries().size()
						: this.matches.getOrDefault(List.of(envelope.sender(), request.term(), id), 0L));
			return new ConsensusEnvelope(envelope.cluster(), envelope.sender(), envelope.receiver(),
					envelope.membershipIndex(), envelope.timestamp(),
					new ConsensusMessage.AppendRequest(request.term(), request.previousIndex(), request.previousTerm(),
							request.entries(), Math.max(request.commitIndex(), majority), request.round(),
							request.sentMillis()));
		}
		return envelope;
	}

	private record ScheduledEvent(long atMillis, long sequence, Runnable action) {

	}

}
