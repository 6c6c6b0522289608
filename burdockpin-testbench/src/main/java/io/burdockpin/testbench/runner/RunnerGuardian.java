package io.burdockpin.testbench.runner;

import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.LineFile;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.ServerBinding;

/** Root of the stand-in runner: its file, announcer, slots and listeners. */
public final class RunnerGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final CompletableFuture<ExitStatus> exit;

	private final ActorRef<RunnerActor.Command> runner;

	private RunnerGuardian(ActorContext<GuardianCommand> context, RunnerSettings settings,
			CompletableFuture<ExitStatus> exit, InstantSource clock) {
		super(context);
		this.exit = exit;
		ActorRef<LineFile.Append> file = context
			.spawn(settings.startedFile().map(LineFile::create).orElseGet(LineFile::none), "started-file");
		context.watch(file);
		ActorRef<RunnerAnnouncer.Command> announcer = context
			.spawn(RunnerAnnouncer.create(settings, settings.address(), clock), "announcer");
		ActorRef<RunnerActor.Drained> drained = context.messageAdapter(RunnerActor.Drained.class,
				(message) -> Drained.INSTANCE);
		this.runner = context.spawn(RunnerActor.create(settings, announcer, file, drained, clock), "runner");
		announcer.tell(new RunnerAnnouncer.ConfirmTo(this.runner));
		bindAll(settings);
	}

	// life cycle

	/**
	 * Creates the root behavior.
	 * @param settings the settings
	 * @param exit the exit status of the program
	 * @param clock the clock that the runner announces
	 * @return the behavior
	 */
	public static Behavior<GuardianCommand> create(RunnerSettings settings, CompletableFuture<ExitStatus> exit,
			InstantSource clock) {
		return Behaviors.setup((context) -> new RunnerGuardian(context, settings, exit, clock));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(Bound.class, this::onBound)
			.onMessage(GuardianCommand.Stop.class, (command) -> onStop())
			.onMessage(Drained.class, (command) -> Behaviors.stopped())
			.build();
	}

	private Behavior<GuardianCommand> onBound(Bound bound) {
		if (!bound.succeeded()) {
			logger.atSevere().log("Cannot listen on %s.", bound.address());
			this.exit.complete(ExitStatus.ADDRESS_UNAVAILABLE);
			return Behaviors.stopped();
		}
		logger.atInfo().log("Listening on %s.", bound.address());
		return this;
	}

	private Behavior<GuardianCommand> onStop() {
		this.runner.tell(new RunnerActor.Leave());
		return this;
	}

	// helpers

	private void bindAll(RunnerSettings settings) {
		watchBinding(new RunnerListener(getContext().getSystem(), this.runner).bind(settings), settings.address());
		watchBinding(new RunnerControl(getContext().getSystem(), this.runner).bind(settings.controlAddress()),
				settings.controlAddress());
	}

	private void watchBinding(CompletionStage<ServerBinding> binding, EndPoint address) {
		getContext().pipeToSelf(binding, (bound, failure) -> new Bound(address, failure == null));
	}

	/**
	 * A listener was bound or could not be bound.
	 *
	 * @param address its address
	 * @param succeeded whether it is bound
	 */
	private record Bound(EndPoint address, boolean succeeded) implements GuardianCommand {

	}

	/** The work in flight has ended. */
	private enum Drained implements GuardianCommand {

		INSTANCE

	}

}
