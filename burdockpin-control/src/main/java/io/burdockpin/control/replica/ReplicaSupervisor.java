package io.burdockpin.control.replica;

import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.ChildFailed;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.Terminated;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Starts the log writer, and the replica once the files are read. Neither is restarted: a
 * state that may differ from the files cannot be rebuilt inside the process, so the
 * failure of one ends the program.
 */
public final class ReplicaSupervisor extends AbstractBehavior<ReplicaSupervisor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String LOG_WRITER_DISPATCHER = "burdockpin.log-writer-dispatcher";

	private final ReplicaSettings replicaSettings;

	private final ReplicaActorSettings actorSettings;

	private final ActorRef<EventLog.Command> eventLog;

	private final MetricRegistry metrics;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final ActorRef<Report> owner;

	private final ActorRef<LogWriter.Command> logWriter;

	private Optional<ActorRef<ReplicaMessage>> replica = Optional.empty();

	private ReplicaSupervisor(ActorContext<Command> context, MemberStorage storage, ReplicaSettings replicaSettings,
			ReplicaActorSettings actorSettings, ActorRef<EventLog.Command> eventLog, MetricRegistry metrics,
			InstantSource clock, RandomGenerator random, ActorRef<Report> owner) {
		super(context);
		this.replicaSettings = replicaSettings;
		this.actorSettings = actorSettings;
		this.eventLog = eventLog;
		this.metrics = metrics;
		this.clock = clock;
		this.random = random;
		this.owner = owner;
		ActorRef<LogWriter.Loaded> loaded = context.messageAdapter(LogWriter.Loaded.class, Loaded::new);
		ActorRef<LogWriter.Written> written = context.messageAdapter(LogWriter.Written.class, Written::new);
		this.logWriter = context.spawn(LogWriter.create(storage, loaded, written, metrics, clock), "log-writer",
				DispatcherSelector.fromConfig(LOG_WRITER_DISPATCHER));
		context.watch(this.logWriter);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param storage the files of this member
	 * @param replicaSettings settings of the replicated log
	 * @param actorSettings settings of the replica actor
	 * @param eventLog takes events
	 * @param metrics the metrics of the process
	 * @param clock the clock of this process, which follows the monotonic clock
	 * @param random source of the election timeouts
	 * @param owner is told when the replica runs or has failed
	 * @return the behavior
	 */
	public static Behavior<Command> create(MemberStorage storage, ReplicaSettings replicaSettings,
			ReplicaActorSettings actorSettings, ActorRef<EventLog.Command> eventLog, MetricRegistry metrics,
			InstantSource clock, RandomGenerator random, ActorRef<Report> owner) {
		return Behaviors.setup((context) -> new ReplicaSupervisor(context, storage, replicaSettings, actorSettings,
				eventLog, metrics, clock, random, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Loaded.class, this::onLoaded)
			.onMessage(Written.class, this::onWritten)
			.onSignal(ChildFailed.class, this::onChildFailed)
			.onSignal(Terminated.class, (signal) -> fail("a part of the replica has ended"))
			.build();
	}

	private Behavior<Command> onLoaded(Loaded command) {
		ActorRef<ReplicaMessage> started = getContext().spawn(replicaBehavior(command.loaded()), "replica");
		getContext().watch(started);
		this.replica = Optional.of(started);
		this.owner.tell(new Started(started, command.loaded().state().self()));
		return this;
	}

	private Behavior<Command> onWritten(Written command) {
		this.replica.ifPresent((target) -> target.tell(new ReplicaMessage.Written(command.written().number())));
		return this;
	}

	private Behavior<Command> onChildFailed(ChildFailed signal) {
		logger.atSevere().withCause(signal.cause()).log("The replica cannot go on.");
		return fail(String.valueOf(signal.cause().getMessage()));
	}

	// helpers

	private Behavior<Command> fail(String reason) {
		this.owner.tell(new Failed(reason));
		return Behaviors.stopped();
	}

	private Behavior<ReplicaMessage> replicaBehavior(LogWriter.Loaded loaded) {
		FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(), new ThriftFleetSnapshotCodec());
		machine.restore(loaded.state().snapshot());
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new ReplicaActor(context, timers,
				this.actorSettings, new Replica(this.replicaSettings, loaded.state(), this.random, this.clock.millis()),
				machine, this.logWriter, this.eventLog, this.metrics, this.clock)));
	}

	/** Messages of the supervisor, all sent by its children. */
	public sealed interface Command {

	}

	private record Loaded(LogWriter.Loaded loaded) implements Command {

	}

	private record Written(LogWriter.Written written) implements Command {

	}

	/** What the supervisor tells its owner. */
	public sealed interface Report {

	}

	/**
	 * The replica runs.
	 *
	 * @param replica the replica
	 * @param self the identity of this member
	 */
	public record Started(ActorRef<ReplicaMessage> replica, MemberId self) implements Report {

	}

	/**
	 * The replica cannot go on and the process must end.
	 *
	 * @param reason why
	 */
	public record Failed(String reason) implements Report {

	}

}
