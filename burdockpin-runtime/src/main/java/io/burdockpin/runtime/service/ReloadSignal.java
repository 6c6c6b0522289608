package io.burdockpin.runtime.service;

import com.google.common.flogger.FluentLogger;
import org.apache.pekko.actor.typed.ActorSystem;
import sun.misc.Signal;

/**
 * Passes SIGHUP to the root guardian. Without a handler the JVM would end the process.
 */
public final class ReloadSignal {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private ReloadSignal() {
	}

	/**
	 * Installs the handler.
	 * @param system gets {@link GuardianCommand.Reload}
	 */
	public static void install(ActorSystem<GuardianCommand> system) {
		Signal.handle(new Signal("HUP"), (signal) -> {
			logger.atInfo().log("Got SIGHUP, reads the settings again.");
			system.tell(GuardianCommand.Reload.INSTANCE);
		});
	}

}
