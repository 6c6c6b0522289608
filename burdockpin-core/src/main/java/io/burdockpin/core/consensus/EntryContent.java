package io.burdockpin.core.consensus;

import io.burdockpin.core.model.Payload;

/** Content of a log entry. */
public sealed interface EntryContent {

	/**
	 * A command for the state machine.
	 *
	 * @param payload the encoded command
	 */
	record CommandContent(Payload payload) implements EntryContent {

	}

	/**
	 * A membership, effective as soon as the entry is in the log. Each new leader first
	 * appends one; committing it also commits the entries of earlier terms.
	 *
	 * @param membership the new membership
	 */
	record MembershipContent(Membership membership) implements EntryContent {

	}

}
