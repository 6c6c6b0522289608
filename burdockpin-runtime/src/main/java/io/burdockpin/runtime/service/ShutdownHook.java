package io.burdockpin.runtime.service;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.typed.ActorSystem;

/**
 * Stops an actor system gracefully on SIGTERM and ends the process with the exit status
 * of the program. Runs as a JVM shutdown hook, which is installed before the program
 * accepts any work; without it, the JVM would exit with status 143 after SIGTERM. A stop
 * that arrives while the program starts waits until the actor system exists, because
 * connections may have been accepted by then.
 */
final class ShutdownHook implements Runnable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Longest request plus the grace period of the load balancer, with a margin. */
	private static final long STOP_TIMEOUT_SECONDS = 75;

	private final CompletableFuture<ActorSystem<GuardianCommand>> system;

	private final CompletableFuture<ExitStatus> exit;

	private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PREPARING);

	private ShutdownHook(CompletableFuture<ActorSystem<GuardianCommand>> system, CompletableFuture<ExitStatus> exit) {
		this.system = system;
		this.exit = exit;
	}

	// life cycle

	/**
	 * Installs the hook.
	 * @param system the system to stop; completed exceptionally if the program ends
	 * without one
	 * @param exit the exit status of the program; success unless completed otherwise
	 * @return the hook
	 */
	static ShutdownHook install(CompletableFuture<ActorSystem<GuardianCommand>> system,
			CompletableFuture<ExitStatus> exit) {
		ShutdownHook hook = new ShutdownHook(system, exit);
		Runtime.getRuntime().addShutdownHook(new Thread(hook, "stop-hook"));
		return hook;
	}

	/**
	 * Notes that the program accepts work from now on, so that a stop has to be graceful.
	 * @return {@code false} if the process is ending already and must not accept work
	 */
	boolean beginService() {
		return this.phase.compareAndSet(Phase.PREPARING, Phase.SERVING);
	}

	/** Notes that the program has ended by itself, so that nothing is left to stop. */
	void endService() {
		this.phase.set(Phase.ENDED);
	}

	@Override
	public void run() {
		if (this.phase.compareAndSet(Phase.PREPARING, Phase.ENDED) || this.phase.get() == Phase.ENDED) {
			return;
		}
		logger.atInfo().log("Received a request to stop.");
		this.system.thenAccept((started) -> started.tell(GuardianCommand.Stop.INSTANCE));
		Runtime.getRuntime().halt(awaitTermination().status());
	}

	// helpers

	private ExitStatus awaitTermination() {
		try {
			this.system.thenCompose(ActorSystem::getWhenTerminated).get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return this.exit.getNow(ExitStatus.SUCCESS);
		}
		catch (TimeoutException ex) {
			logger.atWarning().log("Work in flight did not finish within %d s.", STOP_TIMEOUT_SECONDS);
			return ExitStatus.STOP_TIMED_OUT;
		}
		catch (ExecutionException ex) {
			logger.atWarning().withCause(ex).log("The actor system did not start or terminated with an error.");
			return this.exit.getNow(ExitStatus.FAILURE);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitStatus.FAILURE;
		}
	}

	/** How far the program has come, as seen by a request to stop. */
	private enum Phase {

		/** Nothing was accepted, so the process may end at once. */
		PREPARING,

		/** Work may have been accepted. */
		SERVING,

		/** No work is left, or none may be accepted any more. */
		ENDED

	}

}
