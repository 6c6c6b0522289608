package io.burdockpin.core.batch.state;

/** Result of applying a command to the {@link BatchState}. */
public enum CommandResult {

	/** The command took effect. */
	APPLIED,

	/** The command, or a newer one, had already taken effect. */
	UNCHANGED,

	/** Another object has the identifier, so the command had no effect. */
	CONFLICT,

	/** The command is not valid in the current state and had no effect. */
	REFUSED

}
