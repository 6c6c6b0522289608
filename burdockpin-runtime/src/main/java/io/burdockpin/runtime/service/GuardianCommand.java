package io.burdockpin.runtime.service;

/**
 * Messages that every root guardian accepts. A program adds messages of its own with
 * types that implement this interface or with message adapters.
 */
public interface GuardianCommand {

	/**
	 * Requests a graceful stop: the guardian finishes the work in flight and then stops
	 * itself.
	 */
	enum Stop implements GuardianCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Requests a reload of the settings file. Ignored by programs that cannot reload. */
	enum Reload implements GuardianCommand {

		/** The only instance. */
		INSTANCE

	}

}
