package io.burdockpin.batch.consensus;

import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.model.Payload;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link ConsensusActor}. */
public sealed interface ConsensusCommand {

	/**
	 * All writes up to a number are synced.
	 *
	 * @param number the number
	 */
	record Written(long number) implements ConsensusCommand {

	}

	/**
	 * A message of another member.
	 *
	 * @param envelope the message
	 */
	record FromMember(ConsensusEnvelope envelope) implements ConsensusCommand {

	}

	/**
	 * Proposes an entry. Answered by {@link ConsensusReport.Proposed} or
	 * {@link ConsensusReport.NotProposed}.
	 *
	 * @param tag chosen by the sender
	 * @param payload the content
	 */
	record Propose(long tag, Payload payload) implements ConsensusCommand {

	}

	/**
	 * Asks for a confirmed read. Answered by {@link ConsensusReport.ReadDone}.
	 *
	 * @param number chosen by the sender
	 */
	record Read(long number) implements ConsensusCommand {

	}

	/**
	 * Hands over the state after an index, so that the log before it can be dropped.
	 *
	 * @param index the last index in the state
	 * @param state the encoded state
	 */
	record Compact(long index, Payload state) implements ConsensusCommand {

	}

	/**
	 * Takes a host into the group: as a new member, or in place of the data folder that
	 * it has lost.
	 *
	 * @param member the member
	 */
	record Admit(Member member) implements ConsensusCommand {

	}

	/**
	 * Names the actor that sends messages to members.
	 *
	 * @param links the links
	 */
	record AttachLinks(ActorRef<MemberLinks.Command> links) implements ConsensusCommand {

	}

	/** Gives the leadership to another member, if this one has it. */
	enum TransferLeadership implements ConsensusCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Time to tick. Sent by the actor to itself. */
	enum Timer implements ConsensusCommand {

		/** Something of the log is due. */
		TICK

	}

}
