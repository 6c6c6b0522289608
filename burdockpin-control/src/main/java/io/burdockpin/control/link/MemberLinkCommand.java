package io.burdockpin.control.link;

import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.Membership;

/** Messages from the replica to the links to other members. */
public sealed interface MemberLinkCommand extends LinkSupervisor.Command {

	/**
	 * Sends a message to its receiver. The message is dropped while the link is down.
	 *
	 * @param envelope the message
	 */
	record SendToMember(ConsensusEnvelope envelope) implements MemberLinkCommand {

	}

	/**
	 * Opens links to members that have none. Links to removed members stay open.
	 *
	 * @param membership the current members
	 */
	record MembersChanged(Membership membership) implements MemberLinkCommand {

	}

}
