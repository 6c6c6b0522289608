package io.burdockpin.runtime.log;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers open until the process ends. The default log manager closes them
 * in its own shutdown hook, which would lose the log lines of a graceful stop. The
 * launchers select this class with {@code java.util.logging.manager}.
 */
public final class StopSafeLogManager extends LogManager {

	@Override
	public void reset() {
		// Only LogSetup replaces the handlers.
	}

}
