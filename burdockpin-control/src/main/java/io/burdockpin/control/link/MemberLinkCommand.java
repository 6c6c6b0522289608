package io.burdockpin.control.link;

import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.Membership;

/** What the replica tells the links to the other members. */
public sealed interface MemberLinkCommand extends LinkSupervisor.Command {

	/**
	 * Sends a message. It is dropped while the link is down.
	 *
	 * @param envelope the message
	 */
	record SendToMember(ConsensusEnvelope envelope) implements MemberLinkCommand {

	}

	/**
	 * Links to new members are opened and those to removed ones closed.
	 *
	 * @param membership the members
	 */
	record MembersChanged(Membership membership) implements MemberLinkCommand {

	}

}
