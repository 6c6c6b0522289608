package io.burdockpin.runtime.service;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.typed.ActorSystem;
import sun.misc.Signal;

/**
 * Forwards SIGHUP to the root guardian. Without a handler, SIGHUP would end the process.
 */
public final class ReloadSignal {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private ReloadSignal() {
	}

	/**
	 * Installs the handler.
	 * @param system receives {@link GuardianCommand.Reload}
	 */
	public static void install(ActorSystem<GuardianCommand> system) {
		Signal.handle(new Signal("HUP"), (signal) -> {
			logger.atInfo().log("Received SIGHUP, reloading the settings.");
			system.tell(GuardianCommand.Reload.INSTANCE);
		});
	}

}
