package io.burdockpin.runtime.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sends all logs to standard error, one line each. */
public final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Replaces the handlers of the root logger.
	 */
	public static void install() {
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		Handler console = new ConsoleHandler();
		console.setFormatter(new ComponentLogFormatter());
		console.setLevel(Level.ALL);
		root.addHandler(console);
		root.setLevel(Level.INFO);
	}

}
