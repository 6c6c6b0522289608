package io.burdockpin.core.consensus;

import io.burdockpin.core.model.Payload;

/** Content of a log entry. */
public sealed interface EntryContent {

	/**
	 * A command of the state machine.
	 *
	 * @param payload the encoded command
	 */
	record CommandContent(Payload payload) implements EntryContent {

	}

	/**
	 * The members of the control group, in force as soon as the entry is in the log. Each
	 * new leader appends one first, which commits the entries of earlier terms.
	 *
	 * @param membership the members
	 */
	record MembershipContent(Membership membership) implements EntryContent {

	}

}
