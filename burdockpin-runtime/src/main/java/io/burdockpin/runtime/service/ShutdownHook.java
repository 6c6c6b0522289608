package io.burdockpin.runtime.service;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.typed.ActorSystem;

/**
 * Stops an actor system gracefully on SIGTERM and ends the process with the exit status
 * of the program. Runs as a JVM shutdown hook; without it, the JVM would exit with status
 * 143 after SIGTERM.
 */
public final class ShutdownHook implements Runnable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Longest request plus the grace period of the load balancer, with a margin. */
	private static final long STOP_TIMEOUT_SECONDS = 75;

	private final ActorSystem<GuardianCommand> system;

	private final CompletableFuture<ExitStatus> exit;

	private ShutdownHook(ActorSystem<GuardianCommand> system, CompletableFuture<ExitStatus> exit) {
		this.system = system;
		this.exit = exit;
	}

	// life cycle

	/**
	 * Installs the hook.
	 * @param system the system to stop
	 * @param exit the exit status of the program; success unless completed otherwise
	 */
	public static void install(ActorSystem<GuardianCommand> system, CompletableFuture<ExitStatus> exit) {
		Runtime.getRuntime().addShutdownHook(new Thread(new ShutdownHook(system, exit), "stop-hook"));
	}

	@Override
	public void run() {
		this.system.tell(GuardianCommand.Stop.INSTANCE);
		Runtime.getRuntime().halt(awaitTermination().status());
	}

	// helpers

	private ExitStatus awaitTermination() {
		try {
			this.system.getWhenTerminated().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return this.exit.getNow(ExitStatus.SUCCESS);
		}
		catch (TimeoutException ex) {
			logger.atWarning().log("Work in flight did not finish within %d s.", STOP_TIMEOUT_SECONDS);
			return ExitStatus.STOP_TIMED_OUT;
		}
		catch (ExecutionException ex) {
			logger.atWarning().withCause(ex).log("The actor system terminated with an error.");
			return ExitStatus.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitStatus.FAILURE;
		}
	}

}
