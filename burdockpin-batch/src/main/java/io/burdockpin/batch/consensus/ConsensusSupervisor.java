package io.burdockpin.batch.consensus;

import java.time.InstantSource;
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
 * Starts the log writer and, once the stored state is loaded, the replicated log and its
 * links. No child is restarted: after a failure, the state in memory may differ from the
 * files and cannot be rebuilt within the process, so the program ends.
 */
public final class ConsensusSupervisor extends AbstractBehavior<ConsensusSupervisor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String LOG_WRITER_DISPATCHER = "burdockpin.log-writer-dispatcher";

	private final ConsensusSettings settings;

	private final MetricRegistry metrics;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final ActorRef<ConsensusReport> stateOwner;

	private final ActorRef<Report> owner;

	private final ActorRef<LogWriter.Command> logWriter;

	private ConsensusSupervisor(ActorContext<Command> context, MemberStorage storage, ConsensusSettings settings,
			MetricRegistry metrics, InstantSource clock, RandomGenerator random, ActorRef<ConsensusReport> stateOwner,
			ActorRef<Report> owner) {
		super(context);
		this.settings = settings;
		this.metrics = metrics;
		this.clock = clock;
		this.random = random;
		this.stateOwner = stateOwner;
		this.owner = owner;
		ActorRef<LogWriter.Loaded> loaded = context.messageAdapter(LogWriter.Loaded.class, Loaded::new);
		this.logWriter = context.spawn(LogWriter.create(storage, loaded, metrics, clock), "log-writer",
				DispatcherSelector.fromConfig(LOG_WRITER_DISPATCHER));
		context.watch(this.logWriter);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param storage the files of this member
	 * @param settings addresses, group size and timing of the log
	 * @param metrics the metrics of the process
	 * @param clock a clock that follows the monotonic clock
	 * @param random randomizes election timeouts
	 * @param stateOwner owner of the state machine; first receives the stored snapshot
	 * @param owner notified when the log is running or has failed
	 * @return the behavior of the supervisor
	 */
	public static Behavior<Command> create(MemberStorage storage, ConsensusSettings settings, MetricRegistry metrics,
			InstantSource clock, RandomGenerator random, ActorRef<ConsensusReport> stateOwner, ActorRef<Report> owner) {
		return Behaviors.setup((context) -> new ConsensusSupervisor(context, storage, settings, metrics, clock, random,
				stateOwner, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Loaded.class, this::onLoaded)
			.onMessage(LinksFailed.class, (command) -> fail(command.reason()))
			.onSignal(ChildFailed.class, this::onChildFailed)
			.onSignal(Terminated.class, (signal) -> fail("a component of the replicated log stopped"))
			.build();
	}

	private Behavior<Command> onLoaded(Loaded command) {
		Snapshot snapshot = command.loaded().state().snapshot();
		this.stateOwner.tell(new ConsensusReport.Restored(snapshot));
		Replica replica = new Replica(this.settings.replica(), command.loaded().state(), this.random,
				this.clock.millis());
		ActorRef<ConsensusCommand> started = getContext().spawn(ConsensusActor.create(this.settings, replica,
				this.logWriter, this.stateOwner, this.metrics, this.clock), "consensus",
				DispatcherSelector.fromConfig(BatchDispatchers.CONSENSUS));
		getContext().watch(started);
		MemberId self = command.loaded().state().self();
		ActorRef<MemberLinks.Failed> linksFailed = getContext().messageAdapter(MemberLinks.Failed.class,
				(failed) -> new LinksFailed(failed.reason()));
		getContext().watch(getContext().spawn(MemberLinks.create(this.settings, self, started, linksFailed, this.clock),
				"member-links", DispatcherSelector.fromConfig(BatchDispatchers.CONSENSUS)));
		this.owner.tell(new Started(started, self));
		return this;
	}

	private Behavior<Command> onChildFailed(ChildFailed signal) {
		logger.atSevere().withCause(signal.cause()).log("The replicated log failed; stopping.");
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

	private record LinksFailed(String reason) implements Command {

	}

	/** Messages from the supervisor to its owner. */
	public sealed interface Report {

	}

	/**
	 * The replicated log is running.
	 *
	 * @param consensus accepts proposals and reads
	 * @param self the identity of this member
	 */
	public record Started(ActorRef<ConsensusCommand> consensus, MemberId self) implements Report {

	}

	/**
	 * The replicated log has failed and the process must end.
	 *
	 * @param reason the error message
	 */
	public record Failed(String reason) implements Report {

	}

}
