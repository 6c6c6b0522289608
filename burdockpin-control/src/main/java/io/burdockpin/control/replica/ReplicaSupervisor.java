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
 * Starts the log writer, and the replica once the files are loaded. Neither is restarted:
 * after a failure the state in memory may differ from the files and cannot be rebuilt
 * within the process, so the program exits.
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
		this.logWriter = context.spawn(LogWriter.create(storage, loaded, metrics, clock), "log-writer",
				DispatcherSelector.fromConfig(LOG_WRITER_DISPATCHER));
		this.logWriter.tell(new LogWriter.Attach(written));
		context.watch(this.logWriter);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param storage the files of this member
	 * @param replicaSettings settings of the replicated log
	 * @param actorSettings settings of the replica actor
	 * @param eventLog receives the events of the replica
	 * @param metrics the metrics of the process
	 * @param clock the clock of this process, which must not go backwards
	 * @param random source of randomness for election timeouts
	 * @param owner receives {@link Started} or {@link Failed}
	 * @return the behavior of the supervisor
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
			.onSignal(Terminated.class, (signal) -> fail("an actor of the replica has stopped"))
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

	/** Messages of the supervisor, sent only by its children. */
	public sealed interface Command {

	}

	private record Loaded(LogWriter.Loaded loaded) implements Command {

	}

	private record Written(LogWriter.Written written) implements Command {

	}

	/** Messages from the supervisor to its owner. */
	public sealed interface Report {

	}

	/**
	 * The replica is running.
	 *
	 * @param replica the replica actor
	 * @param self the identity of this member
	 */
	public record Started(ActorRef<ReplicaMessage> replica, MemberId self) implements Report {

	}

	/**
	 * The replica has failed and the process must exit.
	 *
	 * @param reason message of the failure
	 */
	public record Failed(String reason) implements Report {

	}

}
