package io.burdockpin.batch.consensus;

import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.BatchDispatchers;
import io.burdockpin.control.replica.LogWriter;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.Snapshot;
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
 * Starts the log writer, and the replicated log with its links once the files are read.
 * None is restarted: a state that may differ from the files cannot be rebuilt inside the
 * process, so the failure of one ends the program.
 */
public final class ConsensusSupervisor extends AbstractBehavior<ConsensusSupervisor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String LOG_WRITER_DISPATCHER = "burdockpin.log-writer-dispatcher";

	private final ConsensusSettings settings;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final ActorRef<ConsensusReport> stateOwner;

	private final ActorRef<Report> owner;

	private final ActorRef<LogWriter.Command> logWriter;

	private Optional<ActorRef<ConsensusCommand>> consensus = Optional.empty();

	private ConsensusSupervisor(ActorContext<Command> context, MemberStorage storage, ConsensusSettings settings,
			MetricRegistry metrics, InstantSource clock, RandomGenerator random, ActorRef<ConsensusReport> stateOwner,
			ActorRef<Report> owner) {
		super(context);
		this.settings = settings;
		this.clock = clock;
		this.random = random;
		this.stateOwner = stateOwner;
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
	 * @param settings the settings
	 * @param metrics the metrics of the process
	 * @param clock a clock that follows the monotonic clock
	 * @param random source of the election timeouts
	 * @param stateOwner owns the state machine; hears of the stored state first
	 * @param owner is told when the log runs or has failed
	 * @return the behavior
	 */
	public static Behavior<Command> create(MemberStorage storage, ConsensusSettings settings, MetricRegistry metrics,
			InstantSource clock, RandomGenerator random, ActorRef<ConsensusReport> stateOwner, ActorRef<Report> owner) {
		return Behaviors.setup((context) -> new ConsensusSupervisor(context, storage, settings, metrics, clock, random,
				stateOwner, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Loaded.class, this::onLoaded)
			.onMessage(Written.class, this::onWritten)
			.onMessage(LinksFailed.class, (command) -> fail(command.reason()))
			.onSignal(ChildFailed.class, this::onChildFailed)
			.onSignal(Terminated.class, (signal) -> fail("a part of the replicated log has ended"))
			.build();
	}

	private Behavior<Command> onLoaded(Loaded command) {
		Snapshot snapshot = command.loaded().state().snapshot();
		this.stateOwner.tell(new ConsensusReport.Restored(snapshot));
		Replica replica = new Replica(this.settings.replica(), command.loaded().state(), this.random,
				this.clock.millis());
		ActorRef<ConsensusCommand> started = getContext().spawn(
				ConsensusActor.create(this.settings, replica, this.logWriter, this.stateOwner, this.clock), "consensus",
				DispatcherSelector.fromConfig(BatchDispatchers.CONSENSUS));
		getContext().watch(started);
		this.consensus = Optional.of(started);
		MemberId self = command.loaded().state().self();
		ActorRef<MemberLinks.Failed> linksFailed = getContext().messageAdapter(MemberLinks.Failed.class,
				(failed) -> new LinksFailed(failed.reason()));
		getContext().watch(getContext().spawn(MemberLinks.create(this.settings, self, started, linksFailed, this.clock),
				"member-links", DispatcherSelector.fromConfig(BatchDispatchers.CONSENSUS)));
		this.owner.tell(new Started(started, self));
		return this;
	}

	private Behavior<Command> onWritten(Written command) {
		this.consensus.ifPresent((target) -> target.tell(new ConsensusCommand.Written(command.written().number())));
		return this;
	}

	private Behavior<Command> onChildFailed(ChildFailed signal) {
		logger.atSevere().withCause(signal.cause()).log("The replicated log cannot go on.");
		return fail(String.valueOf(signal.cause().getMessage()));
	}

	private Behavior<Command> fail(String reason) {
		this.owner.tell(new Failed(reason));
		return Behaviors.stopped();
	}

	/** Messages of the supervisor, all sent by its children. */
	public sealed interface Command {

	}

	private record Loaded(LogWriter.Loaded loaded) implements Command {

	}

	private record Written(LogWriter.Written written) implements Command {

	}

	private record LinksFailed(String reason) implements Command {

	}

	/** What the supervisor tells its owner. */
	public sealed interface Report {

	}

	/**
	 * The replicated log runs.
	 *
	 * @param consensus the log
	 * @param self the identity of this member
	 */
	public record Started(ActorRef<ConsensusCommand> consensus, MemberId self) implements Report {

	}

	/**
	 * The replicated log cannot go on and the process must end.
	 *
	 * @param reason why
	 */
	public record Failed(String reason) implements Report {

	}

}
