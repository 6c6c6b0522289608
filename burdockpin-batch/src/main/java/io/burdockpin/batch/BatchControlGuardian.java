package io.burdockpin.batch;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.call.CallListener;
import io.burdockpin.batch.call.LeaderClient;
import io.burdockpin.batch.call.LeaderClientCommand;
import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.consensus.ConsensusSettings;
import io.burdockpin.batch.consensus.ConsensusSupervisor;
import io.burdockpin.batch.port.FrontEnd;
import io.burdockpin.batch.scheduler.LeaderWarmUp;
import io.burdockpin.batch.scheduler.SchedulerActor;
import io.burdockpin.batch.scheduler.SchedulerCommand;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.event.EventPrinter;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.ChildFailed;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Root actor of a control member of the batch scheduler. Starts the replicated log, the
 * scheduler, the listener for calls from other processes, the client that sends calls to
 * the leader, and the front end.
 */
public final class BatchControlGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Long enough for an election timeout and the election after it. */
	private static final Duration LEADERSHIP_TRANSFER_TIME = Duration.ofMillis(1_500);

	/** The rest of the grace period is reserved for the exit of the process itself. */
	private static final double GRACE_SHARE = 0.8;

	private final BatchSettings settings;

	private final SettingsReloader reloader;

	private final BatchPorts ports;

	private Optional<ActorRef<LeaderClientCommand>> leader = Optional.empty();

	private final Clock clock;

	private final TimerScheduler<GuardianCommand> timers;

	private final CompletableFuture<ExitStatus> exit;

	private final ActorRef<EventLog.Command> eventLog;

	private final ActorRef<SchedulerCommand> scheduler;

	private Optional<ActorRef<ConsensusCommand>> consensus = Optional.empty();

	private Optional<ActorRef<FrontEnd.Command>> frontEnd = Optional.empty();

	private boolean leaderKnown;

	/** A reload that was requested before its recipient was started. */
	private boolean reloadPending;

	private BatchControlGuardian(ActorContext<GuardianCommand> context, TimerScheduler<GuardianCommand> timers,
			BatchSettings settings, SettingsReloader reloader, BatchPorts ports, MemberStorage storage,
			MetricRegistry metrics, Clock clock, RandomGenerator random, CompletableFuture<ExitStatus> exit) {
		super(context);
		this.settings = settings;
		this.reloader = reloader;
		this.ports = ports;
		this.clock = clock;
		this.timers = timers;
		this.exit = exit;
		this.eventLog = context.spawn(EventLogFactory.create("burdock-batch-control", settings, clock), "events",
				EventPrinter.MAILBOX);
		this.scheduler = context.spawn(
				SchedulerActor.create(settings.toLeaderSettings(), settings.toDataCentreRules(), ports.runners(),
						context.spawn(ports.hosts(), "host-channel"), this.eventLog, clock, Clock.systemUTC()),
				"scheduler", DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		context.watch(this.scheduler);
		Optional<ActorRef<LeaderWarmUp.Command>> warmUpTarget = settings.addresses()
			.control()
			.map((address) -> context.spawn(LeaderWarmUp.create(ports.runners(), address, clock), "leader-warm-up"));
		ActorRef<SchedulerCommand> target = this.scheduler;
		ActorRef<GuardianCommand> self = context.getSelf();
		ActorRef<ConsensusReport> reports = context
			.spawn(Behaviors.receive(ConsensusReport.class).onAnyMessage((report) -> {
				target.tell(new SchedulerCommand.FromConsensus(report));
				if (report instanceof ConsensusReport.LeadershipChanged changed && changed.leader().isPresent()) {
					self.tell(Step.LEADER_KNOWN);
					warmUpTarget.ifPresent((warmUp) -> warmUp
						.tell(changed.leads() ? LeaderWarmUp.Step.END : LeaderWarmUp.Step.LEADER_KNOWN));
				}
				return Behaviors.same();
			}).build(), "consensus-reports", DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		context.spawn(
				ConsensusSupervisor.create(storage, settings.toConsensusSettings(), metrics, clock, random, reports,
						context.messageAdapter(ConsensusSupervisor.Report.class, LogReport::new)),
				"consensus-supervisor");
	}

	// life cycle

	/**
	 * Creates the behavior. Opens the data folder and creates its identity if it is
	 * empty.
	 * @param settings settings as read at the start of the process
	 * @param settingsSource rereads the settings
	 * @param ports adapters to callers, runners and the platform
	 * @param metrics the metrics of the process
	 * @param clock a clock that follows the monotonic clock
	 * @param random randomizes election timeouts
	 * @param exit completed with the exit status if the program must end because of a
	 * failure
	 * @return the behavior of the root actor
	 */
	public static Behavior<GuardianCommand> create(BatchSettings settings, Supplier<BatchSettings> settingsSource,
			BatchPorts ports, MetricRegistry metrics, Clock clock, RandomGenerator random,
			CompletableFuture<ExitStatus> exit) {
		MemberStorage storage = new MemberStorage(new DiskFiles(settings.toDataFolder()), new ThriftEntryContentCodec(),
				new ThriftSnapshotCodec());
		new MemberIdentity(settings).loadOrCreate(storage);
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new BatchControlGuardian(context, timers,
				settings, new SettingsReloader(settingsSource), ports, storage, metrics, clock, random, exit)));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(LogReport.class, this::onLogReport)
			.onMessage(FrontEndReport.class, this::onFrontEndReport)
			.onMessage(ListenerFailed.class, (command) -> fail(ExitStatus.ADDRESS_UNAVAILABLE))
			.onMessageEquals(GuardianCommand.Stop.INSTANCE, this::onStop)
			.onMessageEquals(GuardianCommand.Reload.INSTANCE, this::onReload)
			.onMessageEquals(Step.LEADER_KNOWN, this::onLeaderKnown)
			.onMessageEquals(Step.LEADERSHIP_TRANSFERRED, this::onLeadershipTransferred)
			.onMessageEquals(Step.ENDED, Behaviors::stopped)
			.onSignal(ChildFailed.class, (signal) -> fail(ExitStatus.FAILURE))
			.build();
	}

	private Behavior<GuardianCommand> onLogReport(LogReport command) {
		if (command.report() instanceof ConsensusSupervisor.Started started) {
			startServices(started.consensus(), started.self());
			return this;
		}
		return fail(ExitStatus.STORAGE);
	}

	private Behavior<GuardianCommand> onFrontEndReport(FrontEndReport command) {
		return (command.report() instanceof FrontEnd.Failed) ? fail(ExitStatus.ADDRESS_UNAVAILABLE) : this;
	}

	private Behavior<GuardianCommand> onLeaderKnown() {
		this.leaderKnown = true;
		openFrontEnd();
		return this;
	}

	private Behavior<GuardianCommand> onReload() {
		this.reloadPending = this.leader.isEmpty();
		this.leader.ifPresent(this.reloader::reload);
		return this;
	}

	private Behavior<GuardianCommand> onStop() {
		logger.atInfo().log("Stopping.");
		if (this.frontEnd.isEmpty()) {
			return Behaviors.stopped();
		}
		this.consensus.ifPresent((target) -> target.tell(ConsensusCommand.TransferLeadership.INSTANCE));
		this.timers.startSingleTimer(Step.LEADERSHIP_TRANSFERRED, LEADERSHIP_TRANSFER_TIME);
		this.timers.startSingleTimer(Step.ENDED,
				Duration.ofMillis((long) (GRACE_SHARE * 1_000 * this.settings.graceSeconds())));
		return this;
	}

	private Behavior<GuardianCommand> onLeadershipTransferred() {
		ActorRef<Done> done = getContext().messageAdapter(Done.class, (stopped) -> Step.ENDED);
		this.frontEnd.ifPresent((target) -> target.tell(new FrontEnd.Stop(Duration.ZERO, done)));
		return this;
	}

	// helpers

	private void startServices(ActorRef<ConsensusCommand> started, MemberId self) {
		this.consensus = Optional.of(started);
		this.scheduler.tell(new SchedulerCommand.AttachConsensus(started));
		getContext().spawn(
				CallListener.create(this.settings.toCallSettings(), this.scheduler,
						getContext().messageAdapter(CallListener.Failed.class, ListenerFailed::new)),
				"call-listener", DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		ActorRef<LeaderClientCommand> client = getContext().spawn(LeaderClient.create(this.settings.toCallSettings(),
				Optional.of(this.scheduler), this.eventLog, this.clock), "leader-client",
				DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		this.leader = Optional.of(client);
		if (this.reloadPending) {
			onReload();
		}
		ConsensusSettings consensusSettings = this.settings.toConsensusSettings();
		getContext().spawn(GroupJoiner.create(
				new FleetCall.Join(self.host().value(), self.incarnation(),
						consensusSettings.memberAddress(self.host().value()), Optional.of(this.settings.dataCentre())),
				client), "group-joiner");
		openFrontEnd();
	}

	// Without a leader, requests of runners and operators cannot be answered, and their
	// retries would take processor time from the election.
	private void openFrontEnd() {
		if (this.leaderKnown && this.frontEnd.isEmpty()) {
			this.leader.ifPresent((client) -> this.frontEnd = Optional.of(getContext().spawn(
					this.ports.frontEnd()
						.create(client, getContext().messageAdapter(FrontEnd.Report.class, FrontEndReport::new)),
					"front-end")));
		}
	}

	private Behavior<GuardianCommand> fail(ExitStatus status) {
		this.exit.complete(status);
		return Behaviors.stopped();
	}

	private record LogReport(ConsensusSupervisor.Report report) implements GuardianCommand {

	}

	private record FrontEndReport(FrontEnd.Report report) implements GuardianCommand {

	}

	private record ListenerFailed(CallListener.Failed failure) implements GuardianCommand {

	}

	/** Steps of start-up and shutdown. */
	private enum Step implements GuardianCommand {

		LEADER_KNOWN, LEADERSHIP_TRANSFERRED, ENDED

	}

}
