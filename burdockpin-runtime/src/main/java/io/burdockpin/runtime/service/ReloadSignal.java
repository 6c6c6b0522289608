package io.burdockpin.runtime.service;

import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.typed.ActorSystem;
import sun.misc.Signal;

/**
 * Forwards SIGHUP to the root guardian, as soon as there is one. Without a handler,
 * SIGHUP would end the process.
 */
final class ReloadSignal {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private ReloadSignal() {
	}

	/**
	 * Installs the handler. The order of reloads that arrive before the system exists
	 * does not matter, since each reads the settings that are current when it is handled.
	 * @param system receives {@link GuardianCommand.Reload}
	 */
	static void install(CompletableFuture<ActorSystem<GuardianCommand>> system) {
		Signal.handle(new Signal("HUP"), (signal) -> {
			logger.atInfo().log("Received SIGHUP, reloading the settings.");
			system.thenAccept((started) -> started.tell(GuardianCommand.Reload.INSTANCE));
		});
	}

}
