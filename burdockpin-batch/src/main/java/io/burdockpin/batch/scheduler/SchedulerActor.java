package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.BatchSettings;
import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.batch.port.SendWindow;
import io.burdockpin.codec.cbor.CborBatchSnapshotCodec;
import io.burdockpin.codec.cbor.CborCommandGroupCodec;
import io.burdockpin.core.batch.call.AnnouncementThrottle;
import io.burdockpin.core.batch.call.CallDecision;
import io.burdockpin.core.batch.call.CallRules;
import io.burdockpin.core.batch.call.DataCentreRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.call.JobIntake;
import io.burdockpin.core.batch.lead.FleetLeader;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the state machine of the batch scheduler and, while this member leads, the
 * {@link FleetLeader}. Answers calls, proposes commands and sends orders.
 */
public final class SchedulerActor extends AbstractBehavior<SchedulerCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Short compared to the time limits for runners and callers. */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(40);

	/**
	 * Larger groups are divided. As large as the messages that replicate several entries.
	 */
	private static final int MAXIMUM_GROUP_BYTES = 1024 * 1024;

	/**
	 * Leaves a quarter of {@link BatchSettings#MAXIMUM_FRAME_BYTES} for what surrounds
	 * it.
	 */
	private static final int MAXIMUM_COMMAND_BYTES = BatchSettings.MAXIMUM_FRAME_BYTES / 4 * 3;

	private final LeaderSettings settings;

	private final InstantSource clock;

	private final InstantSource wallClock;

	private final ActorRef<HostChannel.Command> hosts;

	private final ActorRef<HostChannel.Answered> hostReplies;

	private final ActorRef<HostChannel.Listed> hostLists;

	private final RunnerChannels channels;

	private final CallRules rules = new CallRules();

	private final DataCentreRules dataCentreRules;

	private final AnnouncementThrottle announcements = new AnnouncementThrottle();

	private final CborCommandGroupCodec groupCodec = new CborCommandGroupCodec();

	private final CborBatchSnapshotCodec snapshotCodec = new CborBatchSnapshotCodec();

	private final SchedulerEvents events;

	private final HostOrderHistory hostOrderHistory;

	private final PendingProposals proposals = new PendingProposals();

	private final ConfirmedReads reads = new ConfirmedReads();

	private final LeadershipPermit permit;

	/** Jobs whose submission is being committed. */
	private final JobIntake intake = new JobIntake();

	private final List<BatchCommand> queuedCommands = new ArrayList<>();

	private final List<ReplyPort> queuedReplyPorts = new ArrayList<>();

	private Optional<ActorRef<ConsensusCommand>> consensus = Optional.empty();

	private BatchState state = new BatchState();

	private long appliedIndex;

	/** When the last entry was applied, by the monotonic clock. */
	private long appliedMillis;

	private Optional<FleetLeader> leader = Optional.empty();

	private boolean leads;

	/** Whether the decisions of the current term were dropped and start again. */
	private boolean restartDue;

	private long term;

	private Optional<MemberId> knownLeader = Optional.empty();

	private List<String> memberHosts = List.of();

	private boolean flushRequested;

	private long lastTag;

	private final LeaderLoad load;

	private SchedulerActor(ActorContext<SchedulerCommand> context, TimerScheduler<SchedulerCommand> timers,
			LeaderSettings settings, DataCentreRules dataCentreRules, RunnerChannel.Factory runners,
			ActorRef<HostChannel.Command> hosts, ActorRef<EventLog.Command> eventLog, InstantSource clock,
			InstantSource wallClock) {
		super(context);
		this.settings = settings;
		this.dataCentreRules = dataCentreRules;
		this.hosts = hosts;
		this.clock = clock;
		this.wallClock = wallClock;
		this.permit = new LeadershipPermit(clock, wallClock);
		this.hostOrderHistory = new HostOrderHistory(clock.millis());
		this.events = new SchedulerEvents(eventLog, wallClock);
		this.hostReplies = context.messageAdapter(HostChannel.Answered.class, SchedulerCommand.FromHosts::new);
		this.hostLists = context.messageAdapter(HostChannel.Listed.class, SchedulerCommand.FromHostList::new);
		this.channels = new RunnerChannels(context, runners,
				context.messageAdapter(RunnerChannel.Answered.class, SchedulerCommand.FromRunner::new));
		this.load = new LeaderLoad(TICK_INTERVAL.toMillis(), clock.millis());
		timers.startTimerWithFixedDelay(SchedulerCommand.Internal.TICK, TICK_INTERVAL);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings settings of the leader
	 * @param dataCentreRules decides about orders to close data centres
	 * @param runners creates channels to runners
	 * @param hosts sends orders about hosts to the platform
	 * @param eventLog receives the decisions of the leader
	 * @param clock a clock that follows the monotonic clock
	 * @param wallClock the time of day, for jobs with a schedule
	 * @return the behavior of the scheduler
	 */
	public static Behavior<SchedulerCommand> create(LeaderSettings settings, DataCentreRules dataCentreRules,
			RunnerChannel.Factory runners, ActorRef<HostChannel.Command> hosts, ActorRef<EventLog.Command> eventLog,
			InstantSource clock, InstantSource wallClock) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new SchedulerActor(context, timers,
				settings, dataCentreRules, runners, hosts, eventLog, clock, wallClock)));
	}

	@Override
	public Receive<SchedulerCommand> createReceive() {
		return newReceiveBuilder().onMessage(SchedulerCommand.Call.class, this::onCall)
			.onMessage(SchedulerCommand.FromConsensus.class, this::onFromConsensus)
			.onMessage(SchedulerCommand.AttachConsensus.class, this::onAttachConsensus)
			.onMessage(SchedulerCommand.FromRunner.class, this::onFromRunner)
			.onMessage(SchedulerCommand.ChannelStopped.class, this::onChannelStopped)
			.onMessage(SchedulerCommand.FromHosts.class, this::onFromHosts)
			.onMessage(SchedulerCommand.FromHostList.class, this::onFromHostList)
			.onMessageEquals(SchedulerCommand.Internal.FLUSH, this::onFlush)
			.onMessageEquals(SchedulerCommand.Internal.TICK, this::onTick)
			.onMessageEquals(SchedulerCommand.Internal.CALLER_CONNECTED, this::onCallerConnected)
			.build();
	}

	private Behavior<SchedulerCommand> onAttachConsensus(SchedulerCommand.AttachConsensus command) {
		this.consensus = Optional.of(command.consensus());
		return this;
	}

	// calls

	private Behavior<SchedulerCommand> onCallerConnected() {
		this.load.countConnection();
		return this;
	}

	private Behavior<SchedulerCommand> onCall(SchedulerCommand.Call command) {
		this.load.countCall();
		if (this.leader.isEmpty()) {
			command.replyTo().send(followerReply(command.call()));
			return this;
		}
		FleetCall call = command.call();
		ReplyPort replyTo = command.replyTo();
		if (call instanceof FleetCall.CallerCall callerCall) {
			executeWhenConfirmed(() -> decide(callerCall), replyTo);
		}
		else if (call instanceof FleetCall.DataCentreCall order) {
			executeWhenConfirmed(() -> this.dataCentreRules.decide(order, this.state), replyTo);
		}
		else if (call instanceof FleetCall.LookAtDataCentres) {
			replyWhenConfirmed(replyTo, () -> replyTo.send(this.dataCentreRules.status(this.state)));
		}
		else if (call instanceof FleetCall.PutConfiguration put) {
			execute(this.rules.decide(put, this.state), replyTo);
		}
		else if (call instanceof FleetCall.ReadConfiguration) {
			replyWhenConfirmed(replyTo, () -> replyTo.send(this.rules.configuration(this.state)));
		}
		else if (call instanceof FleetCall.LookAtWave look) {
			replyWhenConfirmed(replyTo, () -> replyTo.send(this.rules.wave(look.number(), this.state)));
		}
		else if (call instanceof FleetCall.ExplainPlacement explain) {
			replyWhenConfirmed(replyTo, () -> replyTo.send(explain(explain)));
		}
		else if (call instanceof FleetCall.OrderWave order) {
			commit(new BatchCommand.StartWave(order.wave()), replyTo);
		}
		else if (call instanceof FleetCall.Announce announce) {
			onAnnounce(announce, replyTo);
		}
		else if (call instanceof FleetCall.Leave leave) {
			onLeave(leave, replyTo);
		}
		else if (call instanceof FleetCall.Join join) {
			onJoin(join, replyTo);
		}
		else {
			replyTo.send(new FleetReply.Leads(this.memberHosts));
		}
		return requestFlush();
	}

	private FleetReply explain(FleetCall.ExplainPlacement call) {
		long nowMillis = this.clock.millis();
		FleetReply reply = this.rules.explain(call,
				this.leader.orElseThrow().explainer(nowMillis, this.wallClock.millis()), this::admit, this.state);
		return (reply instanceof FleetReply.Placement placement) ? new FleetReply.Placement(placement.explanation()
			.from(this.appliedIndex, nowMillis - this.appliedMillis,
					this.knownLeader.map((member) -> member.host().value()).orElse("")))
				: reply;
	}

	// A command needs no confirmation, since only the present leader can commit it.
	private void executeWhenConfirmed(Supplier<CallDecision> rule, ReplyPort replyTo) {
		CallDecision decision = rule.get();
		if (decision instanceof CallDecision.Commit) {
			execute(decision, replyTo);
		}
		else {
			replyWhenConfirmed(replyTo, () -> execute(rule.get(), replyTo));
		}
	}

	private CallDecision decide(FleetCall.CallerCall call) {
		CallDecision decision = this.rules.decide(call, this.state, this::admit);
		if (decision instanceof CallDecision.Commit commit
				&& commit.command() instanceof BatchCommand.SubmitJob submitted) {
			this.intake.onProposed(submitted);
		}
		return decision;
	}

	// A job that is being committed may be accepted, so a rejection would be false.
	private Optional<Integer> admit(String job, BatchQueue queue, String workspace, JobSpec spec) {
		return this.intake.isProposed(job) ? Optional.empty()
				: this.intake.retryAfterMillis(this.state, workspace, spec)
					.or(() -> this.leader.flatMap((leading) -> leading.admission().retryAfterMillis(job, queue, spec)));
	}

	private void execute(CallDecision decision, ReplyPort replyTo) {
		if (decision instanceof CallDecision.Commit commit) {
			commit(commit.command(), (reply) -> replyTo.send(commit.replyTo(reply)));
		}
		else if (decision instanceof CallDecision.Answer answer) {
			if (answer.reply() instanceof FleetReply.Refused refused) {
				this.events.rejected(this.term, refused);
			}
			replyTo.send(answer.reply());
		}
	}

	private void onAnnounce(FleetCall.Announce call, ReplyPort replyTo) {
		FleetLeader leading = this.leader.get();
		long nowMillis = this.clock.millis();
		if (leading.isOutdated(call.runner().key(), call.sequence(), nowMillis)) {
			this.events.announcementOutdated(this.term, call);
		}
		Optional<BatchCommand> command = leading.onAnnouncement(call.runner(), call.sequence(), nowMillis);
		if (command.isPresent()) {
			commit(command.get(), replyTo);
		}
		else {
			replyTo.send(new FleetReply.Accepted());
		}
	}

	private void onLeave(FleetCall.Leave call, ReplyPort replyTo) {
		Optional<BatchCommand> command = this.leader.get().onDeparture(call.runner(), this.clock.millis());
		if (command.isPresent()) {
			commit(command.get(), replyTo);
		}
		else {
			// A deposed leader may not know the runner or its latest state.
			replyWhenConfirmed(replyTo, () -> replyTo.send(new FleetReply.Accepted()));
		}
	}

	private void onJoin(FleetCall.Join join, ReplyPort replyTo) {
		Member member = new Member(new MemberId(new HostName(join.host()), join.incarnation()), MemberRole.LEARNER,
				join.address());
		this.consensus.ifPresent((target) -> target.tell(new ConsensusCommand.Admit(member, join.dataCentre())));
		replyTo.send(new FleetReply.Accepted());
	}

	private void commit(BatchCommand command, ReplyPort replyTo) {
		this.queuedCommands.add(command);
		this.queuedReplyPorts.add(replyTo);
		requestFlush();
	}

	private void replyWhenConfirmed(ReplyPort replyTo, Runnable answer) {
		Runnable refuse = () -> replyTo.send(notLeader());
		this.reads.add(() -> (this.leader.isPresent() ? answer : refuse).run(), refuse);
		requestFlush();
	}

	private FleetReply followerReply(FleetCall call) {
		boolean isAcknowledged = call instanceof FleetCall.Announce announce
				&& this.announcements.mayAcknowledge(announce, this.state, this.clock.millis());
		return isAcknowledged ? new FleetReply.Accepted() : notLeader();
	}

	private FleetReply notLeader() {
		return new FleetReply.NotLeader(this.knownLeader.map((member) -> member.host().value()), this.memberHosts);
	}

	// the replicated log

	private Behavior<SchedulerCommand> onFromConsensus(SchedulerCommand.FromConsensus command) {
		ConsensusReport report = command.report();
		if (report instanceof ConsensusReport.Committed committed) {
			committed.entries().forEach(this::apply);
			if (committed.snapshotDue()) {
				sendSnapshot();
			}
		}
		else if (report instanceof ConsensusReport.Restored restored) {
			restore(restored.snapshot());
		}
		else if (report instanceof ConsensusReport.Proposed proposed) {
			this.proposals.onProposed(proposed.tag(), proposed.index());
		}
		else if (report instanceof ConsensusReport.NotProposed refused) {
			onNotProposed(refused.tag());
		}
		else if (report instanceof ConsensusReport.ReadDone read) {
			this.reads.onDone(read.number(), read.outcome());
		}
		else if (report instanceof ConsensusReport.LeadershipChanged changed) {
			onLeadershipChanged(changed);
		}
		else if (report instanceof ConsensusReport.MembersChanged changed) {
			this.memberHosts = hosts(changed.membership());
		}
		return requestFlush();
	}

	private void apply(LogEntry entry) {
		this.appliedIndex = entry.index();
		this.appliedMillis = this.clock.millis();
		if (entry.content() instanceof EntryContent.CommandContent content) {
			CommandGroup group = this.groupCodec.decode(content.payload().bytes());
			List<CommandResult> results = this.state.apply(group);
			recordHostOrders(entry.term(), group, results);
			this.leader.ifPresent((leading) -> onApplied(leading, entry.index(), group, results));
			this.proposals.onCommitted(entry.index(), replies(group, results));
		}
		if (this.leads && this.leader.isEmpty() && !this.restartDue && entry.term() == this.term) {
			logger.atInfo().log("Leads in term %d from log index %d.", this.term, entry.index());
			this.events.leadershipChanged(true, this.term);
			this.events.foundClosed(this.term, this.state);
			startLeading();
		}
	}

	private List<FleetReply> replies(CommandGroup group, List<CommandResult> results) {
		List<FleetReply> replies = new ArrayList<>(results.size());
		for (int number = 0; number < results.size(); number++) {
			replies.add(this.rules.reply(group.commands().get(number), results.get(number)));
		}
		return replies;
	}

	private void recordHostOrders(long entryTerm, CommandGroup group, List<CommandResult> results) {
		for (int number = 0; number < results.size(); number++) {
			if (results.get(number) == CommandResult.APPLIED) {
				this.hostOrderHistory.onApplied(group.commands().get(number), entryTerm, this.clock.millis());
			}
		}
	}

	private void onApplied(FleetLeader leading, long index, CommandGroup group, List<CommandResult> results) {
		long nowMillis = this.clock.millis();
		for (int number = 0; number < results.size(); number++) {
			BatchCommand command = group.commands().get(number);
			this.events.applied(index, command, results.get(number), this.state,
					(task, run) -> leading.contact(task, run, nowMillis));
			leading.onApplied(command, nowMillis);
			if (command instanceof BatchCommand.CloseDataCentre && results.get(number) == CommandResult.APPLIED) {
				warnIfAllAreClosed();
			}
			if (command instanceof BatchCommand.SubmitJob submitted) {
				this.intake.onApplied(submitted);
			}
		}
	}

	private void warnIfAllAreClosed() {
		if (this.state.runners().stream().allMatch((runner) -> this.state.isClosed(runner.dataCentre()))) {
			logger.atWarning()
				.log("No open data centre has runners; new work waits. Closed are %s.",
						this.state.closedDataCentres().keySet());
		}
	}

	private void restore(Snapshot snapshot) {
		this.appliedIndex = snapshot.index();
		this.appliedMillis = this.clock.millis();
		this.state = (snapshot.state().lengthBytes() == 0) ? new BatchState()
				: BatchState.restore(this.snapshotCodec.decode(snapshot.state().bytes()));
		this.hostOrderHistory.onRestored(this.clock.millis());
		logger.atInfo().log("Restored the state from a snapshot at log index %d.", snapshot.index());
	}

	private void sendSnapshot() {
		Payload encoded = Payload.of(this.snapshotCodec.encode(this.state.snapshot()));
		this.consensus.ifPresent((target) -> target.tell(new ConsensusCommand.Compact(this.appliedIndex, encoded)));
	}

	// The leader's decisions rely on commands that were lost, so it starts again from the
	// committed state. It waits for the next tick, since proposals are rejected until a
	// leadership transfer has ended, and for the commit of the proposals that were
	// accepted, since the new decisions must know of their releases.
	private void onNotProposed(long tag) {
		this.proposals.onRefused(tag, notLeader());
		if (this.leader.isPresent()) {
			logger.atWarning()
				.log("A proposal was rejected although this member leads in term %d; restarting decisions after index %d.",
						this.term, this.appliedIndex);
			dropLeader();
			this.restartDue = true;
		}
	}

	private void dropLeader() {
		this.leader = Optional.empty();
		this.intake.clear();
		this.channels.retain((key) -> false);
		this.events.leaderDropped();
	}

	private void startLeading() {
		this.restartDue = false;
		this.leader = Optional
			.of(new FleetLeader(this.state, this.settings, this.hostOrderHistory, this.term, this.clock.millis()));
	}

	private void onLeadershipChanged(ConsensusReport.LeadershipChanged changed) {
		this.term = changed.term();
		this.knownLeader = changed.leader();
		if (this.leads && !changed.leads()) {
			logger.atInfo().log("Stepped down in term %d.", changed.term());
			this.events.leadershipChanged(false, changed.term());
			dropLeader();
			this.restartDue = false;
			this.permit.revoke();
			this.queuedCommands.clear();
			this.queuedReplyPorts.forEach((waiter) -> waiter.send(notLeader()));
			this.queuedReplyPorts.clear();
			this.proposals.failAll();
		}
		this.leads = changed.leads();
	}

	// runners and hosts

	private Behavior<SchedulerCommand> onFromRunner(SchedulerCommand.FromRunner command) {
		RunnerChannel.Answered answer = command.answer();
		this.channels.onAnswered(answer);
		this.events.runnerReplied(answer.dispatch(), answer.reply());
		this.leader.filter((leading) -> answer.dispatch().order().fencingToken() == this.term)
			.ifPresent((leading) -> leading.onReply(answer.dispatch(), answer.reply(), this.clock.millis()));
		return requestFlush();
	}

	private Behavior<SchedulerCommand> onChannelStopped(SchedulerCommand.ChannelStopped command) {
		this.channels.onStopped(command.runner(), command.channel());
		return this;
	}

	private Behavior<SchedulerCommand> onFromHosts(SchedulerCommand.FromHosts command) {
		HostChannel.Answered answer = command.answer();
		logger.atInfo().log("Order %s: %s.", answer.order(), answer.reply());
		this.leader.filter((leading) -> answer.order().fencingToken() == this.term)
			.ifPresent((leading) -> leading.onHostReply(answer.order(), answer.reply(), this.clock.millis()));
		return requestFlush();
	}

	private Behavior<SchedulerCommand> onFromHostList(SchedulerCommand.FromHostList command) {
		this.leader.ifPresent((leading) -> leading.onHostList(command.listed().hosts()));
		return requestFlush();
	}

	// decisions

	private Behavior<SchedulerCommand> onTick() {
		if (this.restartDue && !this.proposals.hasOpen()) {
			startLeading();
		}
		this.load.onTick(this.clock.millis())
			.ifPresent((period) -> this.leader
				.ifPresent((leading) -> this.events.load(this.term, period, leading.takeFigures(), this.state)));
		this.leader.ifPresent((leading) -> this.channels.retain((key) -> leading.session(key).isPresent()));
		return requestFlush();
	}

	// The flush message is queued behind all messages that are already in the mailbox, so
	// that they share one round of decisions and one log entry.
	private Behavior<SchedulerCommand> requestFlush() {
		if (!this.flushRequested && this.consensus.isPresent()) {
			this.flushRequested = true;
			getContext().getSelf().tell(SchedulerCommand.Internal.FLUSH);
		}
		return this;
	}

	private Behavior<SchedulerCommand> onFlush() {
		this.flushRequested = false;
		this.leader.ifPresent(this::decide);
		if (!this.queuedCommands.isEmpty()) {
			propose();
		}
		this.reads.nextRequest().ifPresent((number) -> this.consensus.get().tell(new ConsensusCommand.Read(number)));
		return this;
	}

	private void decide(FleetLeader leading) {
		long nowMillis = this.clock.millis();
		leading.decide(nowMillis, this.wallClock.millis());
		leading.reportOverdueIfDue(nowMillis).forEach((report) -> this.events.overdue(this.term, report));
		leading.placementWaits().drainNotices().forEach((notice) -> this.events.placementWait(this.term, notice));
		if (this.permit.isRenewalDue()) {
			this.permit.renew(this.reads);
		}
		// A runner does not know of a later leader until that one has contacted it, so
		// nothing is sent unless the leadership was confirmed recently.
		this.permit.openWindow().ifPresent((window) -> sendRunnerOrders(leading, window, nowMillis));
		sendHostOrders(leading, nowMillis);
		if (leading.startHostListIfDue(nowMillis)) {
			this.hosts.tell(new HostChannel.ListHosts(this.hostLists));
		}
		leading.drainReleases().forEach((release) -> this.events.released(this.term, release));
		leading.drainProposals().forEach((command) -> {
			this.queuedCommands.add(command);
			this.queuedReplyPorts.add(ReplyPort.NONE);
		});
		this.load.countBusy(this.clock.millis() - nowMillis);
	}

	private void sendRunnerOrders(FleetLeader leading, SendWindow window, long nowMillis) {
		leading.dueOrders(nowMillis).forEach((dispatch) -> {
			this.load.countOrder(dispatch.order() instanceof RunnerOrder.Heartbeat);
			this.events.runnerOrdered(dispatch);
			this.channels.send(dispatch, window);
		});
	}

	// The platform does not check fencing tokens. Orders about hosts wait in a queue, so
	// their window starts with a confirmation of their own.
	private void sendHostOrders(FleetLeader leading, long nowMillis) {
		List<HostOrder> orders = leading.dueHostOrders(nowMillis);
		if (orders.isEmpty()) {
			return;
		}
		SendWindow window = this.permit.newWindow();
		this.reads.addSending(() -> {
			if (isLeading(leading)) {
				orders.forEach((order) -> send(order, window));
			}
		}, (outcome) -> {
			logger.atInfo().log("%d orders about hosts are not sent: leadership is not confirmed.", orders.size());
			if (isLeading(leading)) {
				orders.forEach((order) -> leading.onHostReply(order, HostReply.NO_ANSWER, this.clock.millis()));
			}
		});
	}

	private boolean isLeading(FleetLeader leading) {
		return this.leader.filter((present) -> present == leading).isPresent();
	}

	private void send(HostOrder order, SendWindow window) {
		this.events.hostOrdered(order, this.hostOrderHistory.lastChange(order.host()), this.clock.millis(),
				this.state.lastHostOrderMillis(order.host()));
		this.hosts.tell(new HostChannel.Send(order, window, this.hostReplies));
	}

	private void propose() {
		List<BatchCommand> commands = List.copyOf(this.queuedCommands);
		List<ReplyPort> replyPorts = List.copyOf(this.queuedReplyPorts);
		this.queuedCommands.clear();
		this.queuedReplyPorts.clear();
		propose(commands, replyPorts);
	}

	// A group becomes one log entry. One that is larger than a frame could never be
	// replicated, and the members would elect another leader.
	private void propose(List<BatchCommand> commands, List<ReplyPort> replyPorts) {
		byte[] group = this.groupCodec.encode(new CommandGroup(this.wallClock.millis(), commands));
		if (group.length > MAXIMUM_GROUP_BYTES && commands.size() > 1) {
			int half = commands.size() / 2;
			propose(commands.subList(0, half), replyPorts.subList(0, half));
			propose(commands.subList(half, commands.size()), replyPorts.subList(half, commands.size()));
		}
		else if (group.length > MAXIMUM_COMMAND_BYTES) {
			logger.atSevere().log("Refused a command of %d bytes, which no link would take.", group.length);
			replyPorts.forEach(
					(replyPort) -> replyPort.send(new FleetReply.Refused(FleetReply.Reason.INVALID, Optional.empty())));
		}
		else {
			this.lastTag++;
			this.proposals.add(this.lastTag, replyPorts);
			this.consensus.get().tell(new ConsensusCommand.Propose(this.lastTag, Payload.of(group)));
		}
	}

	private static List<String> hosts(Membership membership) {
		return membership.members().stream().map((member) -> member.id().host().value()).toList();
	}

}
