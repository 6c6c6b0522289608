package io.burdockpin.runtime.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Configures {@code java.util.logging} to write one line per record to standard error.
 */
public final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Replaces the handlers of the root logger and sets its level to {@code INFO}.
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
