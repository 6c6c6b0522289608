package io.burdockpin.runtime.log;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers open until the process ends. The default log manager closes them
 * in a shutdown hook of its own, so the log lines of a graceful stop would be lost. Named
 * by {@code java.util.logging.manager} in the launchers.
 */
public final class StopSafeLogManager extends LogManager {

	@Override
	public void reset() {
		// LogSetup replaces the handlers; nothing else may close them.
	}

}
