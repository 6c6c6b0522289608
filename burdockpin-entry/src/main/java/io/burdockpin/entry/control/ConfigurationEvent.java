package io.burdockpin.entry.control;

import io.burdockpin.core.admission.ConfigurationView;

/** What the configuration feed tells its subscribers. */
public sealed interface ConfigurationEvent {

	/**
	 * A configuration is in force. Its index is never lower than before.
	 *
	 * @param configuration the configuration
	 */
	record Activated(ConfigurationView configuration) implements ConfigurationEvent {

	}

	/**
	 * The configuration in force is as new as the leader's was after a pause of the
	 * process, or no leader could be asked.
	 *
	 * @param pause number of the pause, as the subscriber gave it
	 */
	record Confirmed(long pause) implements ConfigurationEvent {

	}

	/** A control member with a majority has been heard. */
	enum MajorityContact implements ConfigurationEvent {

		/** The only instance. */
		INSTANCE

	}

}
