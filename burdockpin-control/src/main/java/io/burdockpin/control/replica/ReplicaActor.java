package io.burdockpin.control.replica;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.link.MemberLinkCommand;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.Effect;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.MembershipChange;
import io.burdockpin.core.consensus.MembershipChangeResult;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.ReplicaStatus;
import io.burdockpin.core.consensus.Role;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.measure.FleetMeasures;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the consensus logic and the state machine of this member. Executes all effects of
 * a message before it handles the next one.
 */
public final class ReplicaActor extends AbstractBehavior<ReplicaMessage> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration FEED_PERIOD = Duration.ofSeconds(1);

	/**
	 * Maximum time between two ticks. Not needed for correct operation; limits the effect
	 * of a wrong due time.
	 */
	private static final long MAXIMUM_TICK_INTERVAL_MILLIS = 1_000;

	/**
	 * Computing the measures iterates over all jobs and hosts, so it is not done in every
	 * period.
	 */
	private static final int FEED_PERIODS_PER_MEASUREMENT = 5;

	private final TimerScheduler<ReplicaMessage> timers;

	private final ReplicaActorSettings settings;

	private final Replica replica;

	private final FleetStateMachine machine;

	private final ActorRef<LogWriter.Command> logWriter;

	private final ActorRef<EventLog.Command> eventLog;

	private final FleetEvents fleetEvents = new FleetEvents(this::event);

	private final ControlMetrics metrics;

	private final InstantSource clock;

	private final HybridClock hybridClock = new HybridClock();

	private final ConfigurationFeed feed = new ConfigurationFeed();

	private final ConfirmationTable confirmations = new ConfirmationTable();

	private final PendingProposals proposals = new PendingProposals();

	private final Map<Long, PendingRead> reads = new HashMap<>();

	private final List<ActorRef<? super ReplicaMessage.LeadershipTransferred>> transferListeners = new ArrayList<>();

	private final Set<ActorRef<? super ReplicaMessage.RecordsChanged>> watchers = new LinkedHashSet<>();

	private Optional<ActorRef<MemberLinkCommand>> links = Optional.empty();

	private boolean leads;

	private boolean diskHangs;

	private long nextReadNumber;

	private long feedPeriodCount;

	private long tickDueMillis = Long.MAX_VALUE;

	ReplicaActor(ActorContext<ReplicaMessage> context, TimerScheduler<ReplicaMessage> timers,
			ReplicaActorSettings settings, Replica replica, FleetStateMachine machine,
			ActorRef<LogWriter.Command> logWriter, ActorRef<EventLog.Command> eventLog, MetricRegistry metrics,
			InstantSource clock) {
		super(context);
		this.timers = timers;
		this.settings = settings;
		this.replica = replica;
		this.machine = machine;
		this.logWriter = logWriter;
		this.eventLog = eventLog;
		this.metrics = new ControlMetrics(metrics);
		this.clock = clock;
		record(event(EventKind.PROCESS_STARTED));
		timers.startTimerWithFixedDelay(ReplicaMessage.Timer.FEED, FEED_PERIOD);
		runEffects();
	}

	// life cycle

	@Override
	public Receive<ReplicaMessage> createReceive() {
		return newReceiveBuilder().onMessageEquals(ReplicaMessage.Timer.TICK, this::onTick)
			.onMessageEquals(ReplicaMessage.Timer.FEED, this::onFeedDue)
			.onMessage(ReplicaMessage.Written.class, this::onWritten)
			.onMessage(ReplicaMessage.FromMember.class, this::onFromMember)
			.onMessage(ReplicaMessage.FromClient.class, this::onFromClient)
			.onMessage(ReplicaMessage.ClientDisconnected.class, this::onClientDisconnected)
			.onMessage(ReplicaMessage.Propose.class, this::onPropose)
			.onMessage(ReplicaMessage.FetchRecords.class, this::onFetchRecords)
			.onMessage(ReplicaMessage.Watch.class, this::onWatch)
			.onMessage(ReplicaMessage.FetchStatus.class, this::onFetchStatus)
			.onMessage(ReplicaMessage.AttachLinks.class, this::onAttachLinks)
			.onMessage(ReplicaMessage.TransferLeadership.class, this::onTransferLeadership)
			.build();
	}

	private Behavior<ReplicaMessage> onTick() {
		this.tickDueMillis = Long.MAX_VALUE;
		replyToConfirmed();
		this.replica.tick(nowMillis());
		runEffects();
		updateDiskStatus();
		return this;
	}

	private void updateDiskStatus() {
		boolean hangsNow = this.replica.isDiskHanging(nowMillis());
		if (hangsNow && !this.diskHangs) {
			logger.atSevere()
				.log("The disk hangs: a write has been pending for too long. "
						+ "This member will not become leader until the write completes.");
		}
		else if (!hangsNow && this.diskHangs) {
			logger.atWarning().log("The pending write has completed. This member may become leader again.");
		}
		this.diskHangs = hangsNow;
	}

	private Behavior<ReplicaMessage> onWritten(ReplicaMessage.Written written) {
		this.replica.onSynced(written.number(), nowMillis());
		runEffects();
		updateDiskStatus();
		return this;
	}

	private Behavior<ReplicaMessage> onAttachLinks(ReplicaMessage.AttachLinks command) {
		this.links = Optional.of(command.links());
		command.links().tell(new MemberLinkCommand.MembersChanged(this.replica.status().membership()));
		return this;
	}

	private Behavior<ReplicaMessage> onTransferLeadership(ReplicaMessage.TransferLeadership command) {
		boolean wasLeader = this.leads;
		record(event(EventKind.PROCESS_STOPPING));
		this.replica.handOver(nowMillis());
		runEffects();
		if (wasLeader) {
			this.transferListeners.add(command.replyTo());
			notifyTransferListeners();
		}
		else {
			command.replyTo().tell(ReplicaMessage.LeadershipTransferred.WAS_FOLLOWER);
		}
		return this;
	}

	// members

	private Behavior<ReplicaMessage> onFromMember(ReplicaMessage.FromMember command) {
		ConsensusEnvelope envelope = command.envelope();
		if (!envelope.cluster().equals(this.settings.cluster())) {
			logger.atWarning()
				.log("Dropped a message of member %s from another cluster: %s.", envelope.sender(), envelope.cluster());
			return this;
		}
		this.hybridClock.merge(envelope.timestamp());
		if (envelope.message() instanceof ConsensusMessage.FeedReport report) {
			onFeedReport(envelope.sender(), report);
		}
		else {
			this.replica.receive(envelope, nowMillis());
			runEffects();
		}
		return this;
	}

	private void onFeedReport(MemberId sender, ConsensusMessage.FeedReport report) {
		if (this.replica.status().membership().find(sender).isPresent()) {
			this.confirmations.report(sender.host(), report.confirmations());
			replyToConfirmed();
		}
	}

	private void send(MemberId receiver, long membershipIndex, ConsensusMessage message) {
		this.links.ifPresent((target) -> target.tell(new MemberLinkCommand.SendToMember(
				new ConsensusEnvelope(this.settings.cluster(), this.replica.status().self(), receiver, membershipIndex,
						this.hybridClock.tick(this.clock.millis()), message))));
	}

	// entry hosts

	private Behavior<ReplicaMessage> onFromClient(ReplicaMessage.FromClient command) {
		ClientMessage message = command.message();
		if (message instanceof ClientMessage.Subscribe request) {
			this.feed.subscribe(command.sender(), request, this.machine.state().configuration(), command.session());
			command.session().tell(feedHeartbeat());
			reportConfirmations();
		}
		else if (message instanceof ClientMessage.FeedAcknowledgement acknowledgement) {
			this.feed.acknowledge(command.session(), acknowledgement.appliedIndex());
			reportConfirmations();
		}
		else if (message instanceof ClientMessage.Propose request) {
			propose(request, command.session(), true);
		}
		else if (message instanceof ClientMessage.ReadIndex request) {
			startRead((current) -> answerReadIndex(request, current, command.session()));
		}
		else if (message instanceof ClientMessage.QueryRequest request) {
			startRead((current) -> answerQuery(request, current, command.session()));
		}
		else if (message instanceof ClientMessage.ChangeMember request) {
			changeMember(request, command.session());
		}
		return this;
	}

	private Behavior<ReplicaMessage> onClientDisconnected(ReplicaMessage.ClientDisconnected command) {
		this.feed.remove(command.session());
		reportConfirmations();
		return this;
	}

	private Behavior<ReplicaMessage> onFeedDue() {
		this.metrics.record(this.replica.status(), this.replica.hasLeaderContact(nowMillis()), this.machine);
		this.feedPeriodCount++;
		if (this.feedPeriodCount % FEED_PERIODS_PER_MEASUREMENT == 0) {
			this.metrics.record(this.leads ? Optional.of(measures()) : Optional.empty());
		}
		this.feed.publish(feedHeartbeat());
		reportConfirmations();
		return this;
	}

	private FleetMeasures measures() {
		FleetState state = this.machine.state();
		return FleetMeasures.of(state.configuration(), state.jobs(), state.campaigns(), this.clock.millis());
	}

	private ClientMessage feedHeartbeat() {
		Optional<HostName> leader = this.replica.status().leader().map(MemberId::host);
		return new ClientMessage.FeedHeartbeat(this.machine.state().configurationIndex(), leader,
				this.replica.hasLeaderContact(nowMillis()));
	}

	private void reportConfirmations() {
		ReplicaStatus status = this.replica.status();
		this.confirmations.report(status.self().host(), this.feed.confirmations());
		replyToConfirmed();
		status.leader()
			.filter((leader) -> !leader.equals(status.self()))
			.ifPresent((leader) -> send(leader, status.membershipIndex(),
					new ConsensusMessage.FeedReport(status.term(), this.feed.confirmations())));
	}

	private void replyToConfirmed() {
		this.proposals.replyToConfirmed(nowMillis(), this::unconfirmed);
	}

	private List<DataCentre> unconfirmed(long configurationIndex) {
		return this.confirmations.unconfirmed(configurationIndex, this.machine.state().holders());
	}

	// proposals and reads

	private Behavior<ReplicaMessage> onPropose(ReplicaMessage.Propose command) {
		propose(command.request(), command.replyTo(), false);
		return this;
	}

	private void propose(ClientMessage.Propose request, ActorRef<? super ClientMessage> replyTo,
			boolean wantsConfirmation) {
		Proposal proposal = new Proposal(this.clock.millis(), request.requestId(), request.expectedVersion(),
				request.command());
		OptionalLong index = this.replica.propose(this.machine.encode(proposal), nowMillis());
		if (index.isPresent()) {
			this.proposals.add(index.getAsLong(),
					new PendingProposals.Waiter(request.correlation(), replyTo, wantsConfirmation));
		}
		else {
			replyTo.tell(new ClientMessage.NotLeader(request.correlation(), otherLeader()));
		}
		runEffects();
	}

	private void startRead(PendingRead read) {
		this.nextReadNumber++;
		this.reads.put(this.nextReadNumber, read);
		this.replica.read(this.nextReadNumber, nowMillis());
		runEffects();
	}

	private void answerQuery(ClientMessage.QueryRequest request, boolean current, ActorRef<ClientMessage> replyTo) {
		QueryResult result = QueryAnswers.answer(request.query(), this.machine.state(), members());
		replyTo.tell(new ClientMessage.QueryReply(request.correlation(), this.machine.appliedIndex(), current, result));
	}

	private void answerReadIndex(ClientMessage.ReadIndex request, boolean current, ActorRef<ClientMessage> replyTo) {
		replyTo.tell(current
				? new ClientMessage.ReadIndexReply(request.correlation(), this.machine.state().configurationIndex())
				: new ClientMessage.NotLeader(request.correlation(), otherLeader()));
	}

	private void changeMember(ClientMessage.ChangeMember request, ActorRef<ClientMessage> replyTo) {
		Member member = new Member(new MemberId(request.host(), request.incarnation()), MemberRole.LEARNER,
				request.address());
		MembershipChange change = MembershipChange.valueOf(request.kind().name());
		MembershipChangeResult result = this.replica.changeMembership(change, member, nowMillis());
		PendingProposals.Waiter waiter = new PendingProposals.Waiter(request.correlation(), replyTo, false);
		switch (result.kind()) {
			case PROPOSED, PENDING -> this.proposals.add(result.index(), waiter);
			case ALREADY_DONE -> {
				long index = this.replica.status().membershipIndex();
				waiter.reply(index, new CommandResult.Accepted(index), List.of());
			}
			case NOT_LEADER -> replyTo.tell(new ClientMessage.NotLeader(request.correlation(), otherLeader()));
			case BUSY -> waiter.reply(0, rejected("another membership change is not committed yet"), List.of());
			case REFUSED -> waiter.reply(0, rejected("the change is not valid for the current members"), List.of());
		}
		runEffects();
	}

	private static CommandResult rejected(String message) {
		return new CommandResult.Rejected(ErrorCode.STATE_CONFLICT, message);
	}

	private Optional<HostName> otherLeader() {
		ReplicaStatus status = this.replica.status();
		return status.leader().filter((leader) -> !leader.equals(status.self())).map(MemberId::host);
	}

	// effects

	private void runEffects() {
		List<Effect> effects = this.replica.drainEffects();
		while (!effects.isEmpty()) {
			effects.forEach(this::run);
			effects = this.replica.drainEffects();
		}
		scheduleTick();
	}

	private void scheduleTick() {
		long nowMillis = nowMillis();
		long dueMillis = Math.min(nowMillis + MAXIMUM_TICK_INTERVAL_MILLIS,
				Math.min(this.replica.nextDueMillis(nowMillis), this.proposals.nextDeadlineMillis()));
		if (dueMillis < this.tickDueMillis) {
			this.tickDueMillis = dueMillis;
			this.timers.startSingleTimer(ReplicaMessage.Timer.TICK,
					Duration.ofMillis(Math.max(1, dueMillis - nowMillis)));
		}
	}

	private void run(Effect effect) {
		if (effect instanceof Effect.Send send) {
			send(send.receiver(), send.membershipIndex(), send.message());
		}
		else if (effect instanceof Effect.WriteEntries write) {
			this.logWriter.tell(new LogWriter.WriteEntries(write));
		}
		else if (effect instanceof Effect.WriteVote write) {
			this.logWriter.tell(new LogWriter.WriteVote(write));
		}
		else if (effect instanceof Effect.WriteSnapshot write) {
			this.logWriter.tell(new LogWriter.WriteSnapshot(write));
		}
		else {
			runOnState(effect);
		}
	}

	private void runOnState(Effect effect) {
		if (effect instanceof Effect.Apply apply) {
			apply.entries().forEach(this::apply);
			takeSnapshotIfDue();
			notifyWatchers();
		}
		else if (effect instanceof Effect.Restore restore) {
			restore(restore.snapshot());
			notifyWatchers();
		}
		else if (effect instanceof Effect.ReadConfirmed read) {
			this.reads.remove(read.readNumber()).finish(true);
		}
		else if (effect instanceof Effect.ReadRefused read) {
			this.reads.remove(read.readNumber()).finish(false);
		}
		else if (effect instanceof Effect.LeadershipChanged changed) {
			onLeadershipChanged(changed);
		}
		else if (effect instanceof Effect.MembershipChanged changed) {
			onMembershipChanged(changed.membership());
		}
	}

	private void apply(LogEntry entry) {
		if (entry.content() instanceof EntryContent.CommandContent content) {
			AppliedCommand applied = this.machine.apply(entry, content);
			if (applied.isConfigurationChange()) {
				publish(applied);
			}
			if (this.leads) {
				this.metrics.countMoves(applied, this.machine.state());
			}
			this.fleetEvents.of(applied, this.machine.state(), this.leads).ifPresent(this::record);
			this.proposals.remove(entry.index()).forEach((waiter) -> answer(waiter, applied));
		}
		else {
			this.machine.markApplied(entry);
			this.proposals.remove(entry.index())
				.forEach((waiter) -> waiter.reply(entry.index(), new CommandResult.Accepted(entry.index()), List.of()));
		}
	}

	private void publish(AppliedCommand applied) {
		this.feed.publish(new ClientMessage.FeedUpdate(applied.previousConfigurationIndex(), applied.index(),
				applied.proposal()));
	}

	private void answer(PendingProposals.Waiter waiter, AppliedCommand applied) {
		if (waiter.wantsConfirmation() && applied.needsConfirmation()) {
			this.proposals.awaitConfirmation(waiter, applied.index(), applied.configurationIndex(), applied.result(),
					nowMillis() + this.settings.confirmationMillis());
			replyToConfirmed();
		}
		else {
			waiter.reply(applied.index(), applied.result(), List.of());
		}
	}

	private void takeSnapshotIfDue() {
		if (this.replica.needsSnapshot()) {
			this.replica.compact(this.machine.appliedIndex(), this.machine.encodeState());
		}
	}

	private void restore(Snapshot snapshot) {
		this.machine.restore(snapshot);
		this.feed.publish(new ClientMessage.FeedSnapshot(this.machine.state().configuration()));
		logger.atInfo().log("Installed a snapshot at index %d.", snapshot.index());
	}

	private void onLeadershipChanged(Effect.LeadershipChanged changed) {
		boolean leadsNow = changed.role() == Role.LEADER;
		if (leadsNow && !this.leads) {
			logger.atInfo().log("Leads in term %d.", changed.term());
			this.metrics.countElection();
			record(EventKind.LEADER_ELECTED, EventField.TERM, changed.term());
		}
		else if (!leadsNow && this.leads) {
			logger.atInfo().log("Stepped down as leader in term %d.", changed.term());
			record(EventKind.LEADER_STEPPED_DOWN, EventField.TERM, changed.term());
			this.proposals.replyUnknownToAll();
		}
		else {
			logger.atFine()
				.log("Role is %s in term %d, leader is %s.", changed.role(), changed.term(), changed.leader());
		}
		this.leads = leadsNow;
		notifyTransferListeners();
		notifyWatchers();
	}

	private void onMembershipChanged(Membership membership) {
		this.links.ifPresent((target) -> target.tell(new MemberLinkCommand.MembersChanged(membership)));
		record(EventKind.MEMBERS_CHANGED, EventField.DETAIL, membership.members());
	}

	private void notifyTransferListeners() {
		if (!this.leads) {
			this.transferListeners
				.forEach((listener) -> listener.tell(ReplicaMessage.LeadershipTransferred.WAS_LEADER));
			this.transferListeners.clear();
		}
	}

	private void notifyWatchers() {
		this.watchers.forEach((watcher) -> watcher.tell(ReplicaMessage.RecordsChanged.INSTANCE));
	}

	// status

	private Behavior<ReplicaMessage> onWatch(ReplicaMessage.Watch command) {
		this.watchers.add(command.watcher());
		command.watcher().tell(ReplicaMessage.RecordsChanged.INSTANCE);
		return this;
	}

	private Behavior<ReplicaMessage> onFetchRecords(ReplicaMessage.FetchRecords command) {
		this.replica.tick(nowMillis());
		runEffects();
		long requestedMillis = nowMillis();
		if (leadsWithAppliedTerm()) {
			startRead((current) -> command.replyTo().tell(records(current && leadsWithAppliedTerm(), requestedMillis)));
		}
		else {
			command.replyTo().tell(records(false, requestedMillis));
		}
		return this;
	}

	private boolean leadsWithAppliedTerm() {
		return this.leads && this.machine.appliedTerm() == this.replica.status().term();
	}

	private FleetRecords records(boolean leader, long requestedMillis) {
		FleetState state = this.machine.state();
		return new FleetRecords(leader, this.replica.status().term(), requestedMillis, this.machine.appliedIndex(),
				state.configuration(), state.holders(), state.tokens(), state.jobs(), state.campaigns());
	}

	private Behavior<ReplicaMessage> onFetchStatus(ReplicaMessage.FetchStatus command) {
		command.replyTo()
			.tell(new ControlStatus(this.replica.status(), this.replica.hasLeaderContact(nowMillis()),
					this.machine.state().configurationIndex(), this.feed.subscriberCount(), members(),
					this.replica.isDiskHanging(nowMillis())));
		return this;
	}

	private List<MemberStatus> members() {
		ReplicaStatus status = this.replica.status();
		return status.membership().members().stream().map((member) -> memberStatus(status, member)).toList();
	}

	private MemberStatus memberStatus(ReplicaStatus status, Member member) {
		boolean isSelf = member.id().equals(status.self());
		long matchIndex = isSelf ? status.lastIndex() : this.replica.matchIndex(member.id()).orElse(0);
		long silentMillis = this.replica.millisSinceContact(member.id(), nowMillis()).orElse(0);
		return new MemberStatus(member.id().host(), member.id().incarnation(), member.role().countsForMajority(),
				status.leader().equals(Optional.of(member.id())), matchIndex, silentMillis);
	}

	private void record(EventKind kind, EventField field, Object value) {
		record(event(kind).with(field, value));
	}

	private void record(Event event) {
		this.eventLog.tell(new EventLog.Append(event));
	}

	private Event event(EventKind kind) {
		return Event.of(kind, this.hybridClock.tick(this.clock.millis()));
	}

	private long nowMillis() {
		return this.clock.millis();
	}

	/** What follows once it is known whether this member still led after a request. */
	private interface PendingRead {

		void finish(boolean current);

	}

}
