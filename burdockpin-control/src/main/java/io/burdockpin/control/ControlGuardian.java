package io.burdockpin.control;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.control.admin.AdminHttp;
import io.burdockpin.control.link.LinkSupervisor;
import io.burdockpin.control.link.LinkSupervisorSettings;
import io.burdockpin.control.link.PlannerReport;
import io.burdockpin.control.planner.PlannerSupervisor;
import io.burdockpin.control.replica.ReplicaActorSettings;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.control.replica.ReplicaSupervisor;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.link.LinkSettings;
import io.burdockpin.runtime.link.LinkTransport;
import io.burdockpin.runtime.link.TlsLinkTransport;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.runtime.tls.CertificateWatcher;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Root actor of the control program. Starts the replica first; links, planners and the
 * HTTP server are started once the replica has loaded its files.
 */
final class ControlGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Covers an election including its timeout. */
	private static final Duration LEADERSHIP_TRANSFER_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Time for the entry hosts to learn of the new leader. Until then the old leader
	 * rejects their proposals, which are sent again; closing the links earlier would
	 * leave proposals in transit with an unknown outcome.
	 */
	private static final Duration LEADER_PROPAGATION_TIME = Duration.ofMillis(500);

	/**
	 * Maximum wait for slow or unreachable peers to read pending replies, and for the
	 * event file to be written. A lost reply leaves the outcome of a proposal unknown.
	 */
	private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RESTART_MINIMUM = Duration.ofMillis(200);

	private static final Duration RESTART_MAXIMUM = Duration.ofSeconds(10);

	private final ControlSettings settings;

	private final Optional<ReloadableTlsIdentity> tls;

	private final TimerScheduler<GuardianCommand> timers;

	private final Clock clock;

	private final CompletableFuture<ExitStatus> exit;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ActorRef<EventLog.Command> eventLog;

	private final ActorRef<LinkSupervisor.Report> linkReports;

	private Optional<ActorRef<ReplicaMessage>> replica = Optional.empty();

	private Optional<ActorRef<LinkSupervisor.Command>> links = Optional.empty();

	private Optional<ActorRef<AdminHttp.Command>> admin = Optional.empty();

	private ControlGuardian(ActorContext<GuardianCommand> context, TimerScheduler<GuardianCommand> timers,
			ControlSettings settings, Optional<ReloadableTlsIdentity> tls, Identity identity, MemberStorage storage,
			Clock clock, RandomGenerator random, CompletableFuture<ExitStatus> exit) {
		super(context);
		this.settings = settings;
		this.tls = tls;
		this.timers = timers;
		this.clock = clock;
		this.exit = exit;
		this.linkReports = context.messageAdapter(LinkSupervisor.Report.class, LinkReport::new);
		tls.ifPresent((current) -> context.spawn(CertificateWatcher.create(current), "certificate-watch",
				DispatcherSelector.blocking()));
		this.eventLog = context.spawn(eventLog(identity), "event-log");
		ReplicaActorSettings actorSettings = new ReplicaActorSettings(settings.cluster(),
				settings.confirmationMillis().get());
		context.spawn(
				ReplicaSupervisor.create(storage, settings.toReplicaSettings(), actorSettings, this.eventLog,
						this.metrics, clock, random,
						context.messageAdapter(ReplicaSupervisor.Report.class, ReplicaReport::new)),
				"replica-supervisor");
	}

	// life cycle

	static Behavior<GuardianCommand> create(ControlSettings settings, Optional<ReloadableTlsIdentity> tls,
			Identity identity, MemberStorage storage, Clock clock, RandomGenerator random,
			CompletableFuture<ExitStatus> exit) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new ControlGuardian(context, timers,
				settings, tls, identity, storage, clock, random, exit)));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(ReplicaReport.class, this::onReplicaReport)
			.onMessage(LinkReport.class, this::onLinkReport)
			.onMessage(AdminReport.class, this::onAdminReport)
			.onMessageEquals(GuardianCommand.Stop.INSTANCE, this::onStop)
			.onMessage(TransferFinished.class, this::onTransferFinished)
			.onMessageEquals(EndLinks.INSTANCE, this::onEndLinks)
			.onMessageEquals(EventsWritten.INSTANCE, Behaviors::stopped)
			.onMessageEquals(StopTimedOut.INSTANCE, this::onStopTimedOut)
			.build();
	}

	private Behavior<GuardianCommand> onReplicaReport(ReplicaReport command) {
		if (command.report() instanceof ReplicaSupervisor.Started started) {
			startServices(started);
			return this;
		}
		return fail(ExitStatus.STORAGE);
	}

	private Behavior<GuardianCommand> onLinkReport(LinkReport command) {
		if (command.report() instanceof LinkSupervisor.Ended) {
			this.eventLog
				.tell(new EventLog.Close(getContext().messageAdapter(Done.class, (done) -> EventsWritten.INSTANCE)));
			return this;
		}
		return (command.report() instanceof LinkSupervisor.Failed) ? fail(ExitStatus.ADDRESS_UNAVAILABLE) : this;
	}

	private Behavior<GuardianCommand> onAdminReport(AdminReport command) {
		return (command.report() instanceof AdminHttp.Failed) ? fail(ExitStatus.ADDRESS_UNAVAILABLE) : this;
	}

	private Behavior<GuardianCommand> onStop() {
		logger.atInfo().log("Stopping.");
		this.admin.ifPresent((target) -> target.tell(AdminHttp.Stopping.INSTANCE));
		if (this.replica.isEmpty()) {
			return Behaviors.stopped();
		}
		this.timers.startSingleTimer(EndLinks.INSTANCE, LEADERSHIP_TRANSFER_TIMEOUT);
		ActorRef<ReplicaMessage.LeadershipTransferred> transferFinished = getContext()
			.messageAdapter(ReplicaMessage.LeadershipTransferred.class, TransferFinished::new);
		this.replica.get().tell(new ReplicaMessage.TransferLeadership(transferFinished));
		return this;
	}

	private Behavior<GuardianCommand> onTransferFinished(TransferFinished command) {
		if (command.report() == ReplicaMessage.LeadershipTransferred.WAS_FOLLOWER) {
			return onEndLinks();
		}
		this.timers.startSingleTimer(EndLinks.INSTANCE, LEADER_PROPAGATION_TIME);
		return this;
	}

	private Behavior<GuardianCommand> onEndLinks() {
		this.timers.cancel(EndLinks.INSTANCE);
		this.timers.startSingleTimer(StopTimedOut.INSTANCE, SHUTDOWN_TIMEOUT);
		this.links.ifPresent((target) -> target.tell(new LinkSupervisor.End(this.linkReports)));
		this.links = Optional.empty();
		return this;
	}

	private Behavior<GuardianCommand> onStopTimedOut() {
		logger.atWarning()
			.log("Shutdown timed out before all peers had read their messages and all events were written.");
		return Behaviors.stopped();
	}

	// helpers

	private void startServices(ReplicaSupervisor.Started started) {
		ActorContext<GuardianCommand> context = getContext();
		this.replica = Optional.of(started.replica());
		ActorRef<PlannerReport> planner = context.spawn(PlannerSupervisor.create(this.settings.toPlannerSettings(),
				this.clock, started.replica(), this.eventLog), "planner-supervisor");
		this.links = Optional.of(context.spawn(LinkSupervisor.create(linkSettings(), started.self(), started.replica(),
				planner, this.linkReports, this.clock), "link-supervisor"));
		this.admin = Optional.of(context
			.spawn(AdminHttp.create(LinkSupervisorSettings.socketAddress(this.settings.adminAddress()), this.tls,
					started.replica(), this.metrics, context.messageAdapter(AdminHttp.Report.class, AdminReport::new)),
					"admin-http"));
	}

	private LinkSupervisorSettings linkSettings() {
		LinkTransport transport = this.tls.<LinkTransport>map(TlsLinkTransport::new).orElse(LinkTransport.PLAIN);
		return new LinkSupervisorSettings(LinkSupervisorSettings.socketAddress(this.settings.memberAddress()),
				LinkSupervisorSettings.socketAddress(this.settings.clientAddress()), this.settings.toMembership(),
				this.settings.toConnectAddresses(), LinkSettings.DEFAULT.withTransport(transport), RESTART_MINIMUM,
				RESTART_MAXIMUM);
	}

	private Behavior<EventLog.Command> eventLog(Identity identity) {
		return EventLog.create(this.settings.toDataFolder().resolve("events").resolve("events.jsonl"),
				this.settings.eventFileBytes().get(), new EventJsonCodec(), new ProcessDescription("burdock-control",
						identity.host(), this.settings.dataCentre(), identity.incarnation()));
	}

	private Behavior<GuardianCommand> fail(ExitStatus status) {
		this.exit.complete(status);
		return Behaviors.stopped();
	}

	private record ReplicaReport(ReplicaSupervisor.Report report) implements GuardianCommand {

	}

	private record LinkReport(LinkSupervisor.Report report) implements GuardianCommand {

	}

	private record AdminReport(AdminHttp.Report report) implements GuardianCommand {

	}

	private record TransferFinished(ReplicaMessage.LeadershipTransferred report) implements GuardianCommand {

	}

	private enum EndLinks implements GuardianCommand {

		INSTANCE

	}

	private enum EventsWritten implements GuardianCommand {

		INSTANCE

	}

	private enum StopTimedOut implements GuardianCommand {

		INSTANCE

	}

}
