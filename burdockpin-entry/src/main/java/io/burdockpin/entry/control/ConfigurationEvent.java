package io.burdockpin.entry.control;

import io.burdockpin.core.admission.ConfigurationView;

/** Events of the configuration feed. */
public sealed interface ConfigurationEvent {

	/**
	 * A configuration has become active. The index never decreases.
	 *
	 * @param configuration the active configuration
	 */
	record Activated(ConfigurationView configuration) implements ConfigurationEvent {

	}

	/**
	 * The active configuration is at least as new as that of the leader after a pause of
	 * the process, or no leader could be reached.
	 *
	 * @param pause number of the pause in {@link ControlCommand.ConfirmConfiguration}
	 */
	record Confirmed(long pause) implements ConfigurationEvent {

	}

	/** A control member that is in contact with a majority has sent a message. */
	enum MajorityContact implements ConfigurationEvent {

		/** The only instance. */
		INSTANCE

	}

}
