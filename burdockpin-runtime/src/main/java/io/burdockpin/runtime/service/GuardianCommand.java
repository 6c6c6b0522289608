package io.burdockpin.runtime.service;

/**
 * Messages that every root guardian understands. A program adds its own by nesting them
 * behind its own types and adapting.
 */
public interface GuardianCommand {

	/** Asks for a graceful stop: work in flight ends, then the guardian stops itself. */
	enum Stop implements GuardianCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Asks to read the settings file again. Programs that cannot ignore it. */
	enum Reload implements GuardianCommand {

		/** The only instance. */
		INSTANCE

	}

}
