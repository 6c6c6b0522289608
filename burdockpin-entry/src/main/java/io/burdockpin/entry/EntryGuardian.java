package io.burdockpin.entry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.codec.thrift.impl.ThriftClientCodec;
import io.burdockpin.codec.thrift.impl.ThriftPeerCodec;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.control.ControlSupervisor;
import io.burdockpin.entry.event.EventRecorder;
import io.burdockpin.entry.http.EntryActors;
import io.burdockpin.entry.http.HttpCommand;
import io.burdockpin.entry.http.HttpServerActor;
import io.burdockpin.entry.operator.OperatorCommand;
import io.burdockpin.entry.operator.OperatorSupervisor;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.entry.peer.PeerSupervisor;
import io.burdockpin.entry.router.RouterActor;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.token.TokenActor;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.entry.worker.WorkerCommand;
import io.burdockpin.entry.worker.WorkerReportActor;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.link.LinkSettings;
import io.burdockpin.runtime.link.LinkTransport;
import io.burdockpin.runtime.link.TlsLinkTransport;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.runtime.service.StartupException;
import io.burdockpin.runtime.tls.CertificateWatcher;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.ChildFailed;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Root actor of the entry program. Starts the supervisors in the order of their
 * dependencies and, on a stop, lets requests in flight finish before it stops them. The
 * failure of a supervisor ends the process.
 */
public final class EntryGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Maximum time at the end of a stop for closing the links to other entry hosts, which
	 * may be slow or unreachable, and for writing the event file.
	 */
	private static final Duration SHUTDOWN_FLUSH_TIMEOUT = Duration.ofSeconds(5);

	private final CompletableFuture<ExitStatus> exit;

	private final long balancerGraceMillis;

	private final Optional<ActorRef<EventLog.Command>> eventLog;

	private final EventRecorder events;

	private final ActorRef<RouterCommand> router;

	private final ActorRef<TokenCommand> tokens;

	private final ActorRef<WorkerCommand> workers;

	private final ActorRef<HttpCommand> http;

	private final ActorRef<PeerCommand> peers;

	private EntryGuardian(ActorContext<GuardianCommand> context, EntryIdentity identity, EntrySettings settings,
			Optional<ReloadableTlsIdentity> tls, RandomGenerator random, CompletableFuture<ExitStatus> exit) {
		super(context);
		this.exit = exit;
		this.balancerGraceMillis = settings.timing().balancerGraceMillis();
		this.eventLog = spawnEventLog(identity, settings);
		this.events = new EventRecorder(identity, this.eventLog);
		this.events.record(this.events.newEvent(EventKind.PROCESS_STARTED));
		LinkSettings links = LinkSettings.DEFAULT
			.withTransport(tls.<LinkTransport>map(TlsLinkTransport::new).orElse(LinkTransport.PLAIN));
		tls.ifPresent((current) -> context.spawn(CertificateWatcher.create(current), "certificate-watch",
				DispatcherSelector.blocking()));
		MetricRegistry metrics = new MetricRegistry();
		ActorRef<ControlCommand> control = spawn(ControlSupervisor.create(identity, settings.members(),
				new ThriftClientCodec(), links, settings.dataFolder().map(Path::of), new ThriftPeerCodec()), "control");
		this.tokens = spawn(TokenActor.create(identity, settings.timing().tokenReportMillis(), control), "tokens");
		this.router = spawn(RouterActor.create(identity, settings, tls, control, this.tokens, random,
				new EventRecorder(identity, this.eventLog), metrics), "router");
		this.peers = spawn(
				PeerSupervisor.create(identity, settings, new ThriftPeerCodec(), links, this.router, control, metrics),
				"peers");
		this.workers = spawn(WorkerReportActor.create(identity, settings.timing().workerBatchMillis(),
				settings.timing().unchangedWorkerMillis(), control), "workers");
		ActorRef<OperatorCommand> operators = spawn(OperatorSupervisor.create(settings.timing().proposalMillis(),
				control, this.router, this.peers, settings.dataFolder().map(Path::of)), "operators");
		EntryActors actors = new EntryActors(context.getSystem(), this.router, this.tokens, control, this.workers,
				operators);
		this.http = spawn(HttpServerActor.create(actors, identity, settings, tls, metrics), "http");
		this.peers.tell(
				new PeerCommand.Subscribe(context.messageAdapter(PeerView.class, (view) -> new PeersPublished(view))));
	}

	// life cycle

	/**
	 * Creates the behavior of the guardian.
	 * @param identity the identity of this process
	 * @param settings the validated settings
	 * @param tls current certificates; empty if the process does not use TLS
	 * @param random source of tie-breaking and of retry jitter
	 * @param exit completed with the exit status when a supervisor fails
	 * @return the behavior
	 */
	public static Behavior<GuardianCommand> create(EntryIdentity identity, EntrySettings settings,
			Optional<ReloadableTlsIdentity> tls, RandomGenerator random, CompletableFuture<ExitStatus> exit) {
		return Behaviors.setup((context) -> new EntryGuardian(context, identity, settings, tls, random, exit));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(GuardianCommand.Stop.class, (command) -> onStop())
			.onMessage(PeersPublished.class, this::onPeersPublished)
			.onMessage(AwaitBound.class, this::onAwaitBound)
			.onMessage(GraceEnded.class, (command) -> onGraceEnded())
			.onMessage(Idle.class, (command) -> onIdle())
			.onMessage(Drained.class, (command) -> onDrained())
			.onMessage(HttpTerminated.class, (command) -> onHttpTerminated())
			.onMessage(LinksClosed.class, (command) -> onLinksClosed())
			.onMessage(EventsWritten.class, (command) -> Behaviors.stopped())
			.onMessage(StopTimedOut.class, (command) -> onStopTimedOut())
			.onSignal(ChildFailed.class, this::onChildFailed)
			.build();
	}

	private Behavior<GuardianCommand> onStop() {
		this.events.record(this.events.newEvent(EventKind.PROCESS_STOPPING));
		logger.atInfo().log("Stopping. Requests are still accepted for %d ms.", this.balancerGraceMillis);
		this.router.tell(RouterCommand.BeginStop.INSTANCE);
		this.workers.tell(WorkerCommand.BeginStop.INSTANCE);
		getContext().scheduleOnce(Duration.ofMillis(this.balancerGraceMillis), getContext().getSelf(),
				GraceEnded.INSTANCE);
		return this;
	}

	private Behavior<GuardianCommand> onGraceEnded() {
		this.http.tell(HttpCommand.StopAccepting.INSTANCE);
		this.router.tell(RouterCommand.StopAccepting.INSTANCE);
		this.router.tell(new RouterCommand.AwaitIdle(sendToSelfWhenDone(Idle.INSTANCE)));
		return this;
	}

	private Behavior<GuardianCommand> onIdle() {
		logger.atInfo().log("All requests in flight have finished.");
		this.tokens.tell(new TokenCommand.Drain(sendToSelfWhenDone(Drained.INSTANCE)));
		return this;
	}

	private Behavior<GuardianCommand> onDrained() {
		this.http.tell(new HttpCommand.Terminate(sendToSelfWhenDone(HttpTerminated.INSTANCE)));
		return this;
	}

	private Behavior<GuardianCommand> onHttpTerminated() {
		getContext().scheduleOnce(SHUTDOWN_FLUSH_TIMEOUT, getContext().getSelf(), StopTimedOut.INSTANCE);
		this.peers.tell(new PeerCommand.EndLinks(sendToSelfWhenDone(LinksClosed.INSTANCE)));
		return this;
	}

	private Behavior<GuardianCommand> onLinksClosed() {
		if (this.eventLog.isEmpty()) {
			return Behaviors.stopped();
		}
		this.eventLog.get().tell(new EventLog.Close(sendToSelfWhenDone(EventsWritten.INSTANCE)));
		return this;
	}

	private Behavior<GuardianCommand> onStopTimedOut() {
		logger.atWarning()
			.log("Links to other entry hosts were not closed or events were not written within %d s.",
					SHUTDOWN_FLUSH_TIMEOUT.toSeconds());
		return Behaviors.stopped();
	}

	private Behavior<GuardianCommand> onPeersPublished(PeersPublished command) {
		this.workers.tell(new WorkerCommand.PeersChanged(command.view()));
		return this;
	}

	private Behavior<GuardianCommand> onAwaitBound(AwaitBound command) {
		this.http.tell(new HttpCommand.AwaitBound(command.replyTo()));
		return this;
	}

	private Behavior<GuardianCommand> onChildFailed(ChildFailed failed) {
		logger.atSevere().withCause(failed.cause()).log("Supervisor %s failed.", failed.getRef().path().name());
		this.exit.complete(exitStatus(failed.cause()));
		return Behaviors.stopped();
	}

	// helpers

	private static ExitStatus exitStatus(Throwable cause) {
		if (cause instanceof StartupException start) {
			return start.getExitStatus();
		}
		return (cause != null && cause.getCause() != null) ? exitStatus(cause.getCause()) : ExitStatus.FAILURE;
	}

	private Optional<ActorRef<EventLog.Command>> spawnEventLog(EntryIdentity identity, EntrySettings settings) {
		ProcessDescription process = new ProcessDescription("burdock-entry", settings.name(), settings.dataCentre(),
				identity.holder().incarnation());
		return settings.eventFile()
			.map((file) -> spawn(
					EventLog.create(Path.of(file), settings.eventFileBytes(), new EventJsonCodec(), process),
					"events"));
	}

	private <M> ActorRef<M> spawn(Behavior<M> behavior, String name) {
		ActorRef<M> child = getContext().spawn(behavior, name);
		getContext().watch(child);
		return child;
	}

	private ActorRef<Done> sendToSelfWhenDone(GuardianCommand next) {
		ActorRef<GuardianCommand> self = getContext().getSelf();
		return getContext().spawnAnonymous(Behaviors.receiveMessage((done) -> {
			self.tell(next);
			return Behaviors.stopped();
		}));
	}

	/**
	 * Requests the bound HTTP address.
	 *
	 * @param replyTo receives the address as soon as it is bound
	 */
	public record AwaitBound(ActorRef<InetSocketAddress> replyTo) implements GuardianCommand {

	}

	private record PeersPublished(PeerView view) implements GuardianCommand {

	}

	private enum GraceEnded implements GuardianCommand {

		INSTANCE

	}

	private enum Idle implements GuardianCommand {

		INSTANCE

	}

	private enum Drained implements GuardianCommand {

		INSTANCE

	}

	private enum LinksClosed implements GuardianCommand {

		INSTANCE

	}

	private enum EventsWritten implements GuardianCommand {

		INSTANCE

	}

	private enum StopTimedOut implements GuardianCommand {

		INSTANCE

	}

	private enum HttpTerminated implements GuardianCommand {

		INSTANCE

	}

}
