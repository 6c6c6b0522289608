package io.burdockpin.runtime.service;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import com.typesafe.config.Config;
import io.burdockpin.runtime.log.LogSetup;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Runs the actor system of a program. The handlers of signals are installed first, since
 * a program may accept connections before its actor system exists; what arrives until
 * then is kept for the root guardian. Confined to the main thread.
 */
public final class ActorSystemRunner {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final String programName;

	private final CompletableFuture<ActorSystem<GuardianCommand>> system = new CompletableFuture<>();

	private final CompletableFuture<ExitStatus> exit = new CompletableFuture<>();

	private final ShutdownHook shutdownHook = ShutdownHook.install(this.system, this.exit);

	private ActorSystemRunner(String programName) {
		this.programName = programName;
	}

	/**
	 * Installs the handlers of signals and runs a program until it ends.
	 * @param programName the name of the program in the log
	 * @param canReload whether the guardian handles {@link GuardianCommand.Reload};
	 * otherwise SIGHUP ends the process, as is the default
	 * @param program the program, which may run an actor system once
	 * @return the exit status of the program
	 */
	public static ExitStatus run(String programName, boolean canReload,
			Function<ActorSystemRunner, ExitStatus> program) {
		LogSetup.install();
		ActorSystemRunner runner = new ActorSystemRunner(programName);
		if (canReload) {
			ReloadSignal.install(runner.system);
		}
		return runner.runToEnd(() -> program.apply(runner));
	}

	/**
	 * Runs the actor system until it terminates. Nothing may be accepted before.
	 * @param name the name of the system
	 * @param guardian creates the root guardian, which completes its argument if it stops
	 * on its own
	 * @param configuration the configuration of the system
	 * @return the exit status of the program; success if it was stopped before
	 */
	public ExitStatus runSystem(String name,
			Function<CompletableFuture<ExitStatus>, Behavior<GuardianCommand>> guardian, Config configuration) {
		if (!this.shutdownHook.beginService()) {
			return ExitStatus.SUCCESS;
		}
		this.system.complete(ActorSystem.create(guardian.apply(this.exit), name, configuration));
		logger.atInfo().log("Started %s.", this.programName);
		this.system.thenCompose(ActorSystem::getWhenTerminated).join();
		return this.exit.getNow(ExitStatus.SUCCESS);
	}

	private ExitStatus runToEnd(Supplier<ExitStatus> program) {
		ExitStatus status = ExitStatus.FAILURE;
		try {
			status = program.get();
			return status;
		}
		finally {
			this.exit.complete(status);
			this.system.completeExceptionally(new IllegalStateException("The program ended without an actor system."));
			this.shutdownHook.endService();
		}
	}

}
