package io.burdockpin.batch.consensus;

import java.util.Optional;

import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.model.Payload;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link ConsensusActor}. */
public sealed interface ConsensusCommand {

	/**
	 * All writes up to a number are durable.
	 *
	 * @param number the number of the last durable write
	 */
	record Written(long number) implements ConsensusCommand {

	}

	/**
	 * A message from another member.
	 *
	 * @param envelope the message with its sender and cluster
	 */
	record FromMember(ConsensusEnvelope envelope) implements ConsensusCommand {

	}

	/**
	 * Proposes a log entry. Answered by {@link ConsensusReport.Proposed} or
	 * {@link ConsensusReport.NotProposed}.
	 *
	 * @param tag chosen by the sender to match the answer
	 * @param payload the content of the entry
	 */
	record Propose(long tag, Payload payload) implements ConsensusCommand {

	}

	/**
	 * Requests a linearizable read: a confirmation that this member still leads. Answered
	 * by {@link ConsensusReport.ReadDone}.
	 *
	 * @param number chosen by the sender to match the answer
	 */
	record Read(long number) implements ConsensusCommand {

	}

	/**
	 * Passes a snapshot of the state machine, so that the log can be truncated up to its
	 * index.
	 *
	 * @param index the index of the last entry applied to the state
	 * @param state the encoded state
	 */
	record Compact(long index, Payload state) implements ConsensusCommand {

	}

	/**
	 * A host asks to join the group, as a new member or as the replacement of a member
	 * that is gone or has lost its data folder.
	 *
	 * @param member the member to admit
	 * @param dataCentre the data centre of its host, if it said so
	 */
	record Admit(Member member, Optional<String> dataCentre) implements ConsensusCommand {

	}

	/**
	 * Sets the actor that sends messages to other members.
	 *
	 * @param links owns the links to the members
	 */
	record AttachLinks(ActorRef<MemberLinks.Command> links) implements ConsensusCommand {

	}

	/** Transfers the leadership to another member, if this one is the leader. */
	enum TransferLeadership implements ConsensusCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Sent by the actor to itself. */
	enum Timer implements ConsensusCommand {

		/** A deadline of the replica has passed. */
		TICK

	}

}
