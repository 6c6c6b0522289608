package io.burdockpin.core.batch.state;

/** What applying a command has changed. */
public enum CommandResult {

	/** The command took effect. */
	APPLIED,

	/** The command had taken effect before, or something newer has. */
	UNCHANGED,

	/** The command does not fit the state and changed nothing. */
	REFUSED

}
