package io.burdockpin.testbench.worker;

import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.LineFile;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Root of the stand-in worker: its file, its jobs and its control listener. */
public final class WorkerGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final CompletableFuture<ExitStatus> exit;

	private final ActorRef<WorkerActor.Command> worker;

	private WorkerGuardian(ActorContext<GuardianCommand> context, WorkerSettings settings,
			CompletableFuture<ExitStatus> exit) {
		super(context);
		this.exit = exit;
		ActorRef<LineFile.Append> file = context
			.spawn(settings.jobFile().map(LineFile::create).orElseGet(LineFile::none), "job-file");
		context.watch(file);
		ActorRef<WorkerActor.Drained> drained = context.messageAdapter(WorkerActor.Drained.class,
				(message) -> Drained.INSTANCE);
		this.worker = context.spawn(WorkerActor.create(settings, file, drained), "worker");
		context.pipeToSelf(new WorkerControl(context.getSystem(), this.worker).bind(settings.controlAddress()),
				(bound, failure) -> new Bound(failure == null));
	}

	// life cycle

	/**
	 * Creates the root behavior.
	 * @param settings the settings
	 * @param exit the exit status of the program
	 * @return the behavior
	 */
	public static Behavior<GuardianCommand> create(WorkerSettings settings, CompletableFuture<ExitStatus> exit) {
		return Behaviors.setup((context) -> new WorkerGuardian(context, settings, exit));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(Bound.class, this::onBound)
			.onMessage(GuardianCommand.Stop.class, (command) -> onStop())
			.onMessage(Drained.class, (command) -> Behaviors.stopped())
			.build();
	}

	private Behavior<GuardianCommand> onBound(Bound bound) {
		if (bound.succeeded()) {
			return this;
		}
		logger.atSevere().log("Cannot listen on the control address.");
		this.exit.complete(ExitStatus.ADDRESS_UNAVAILABLE);
		return Behaviors.stopped();
	}

	private Behavior<GuardianCommand> onStop() {
		this.worker.tell(new WorkerActor.Stop());
		return this;
	}

	/**
	 * The control listener was bound or could not be bound.
	 *
	 * @param succeeded whether it is bound
	 */
	private record Bound(boolean succeeded) implements GuardianCommand {

	}

	/** The last report was answered or lost. */
	private enum Drained implements GuardianCommand {

		INSTANCE

	}

}
