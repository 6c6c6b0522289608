package io.burdockpin.control.replica;

import io.burdockpin.control.link.MemberLinkCommand;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.model.Holder;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link ReplicaActor}. */
public sealed interface ReplicaMessage {

	/** Messages that the actor and its timers send. */
	enum Timer implements ReplicaMessage {

		/** Time passes for the replicated log. */
		TICK,

		/** Time to send heartbeats to the subscribers. */
		FEED

	}

	/**
	 * All writes up to a number are synced.
	 *
	 * @param number the number
	 */
	record Written(long number) implements ReplicaMessage {

	}

	/**
	 * Gives the actor its way to the other members.
	 *
	 * @param links takes messages to other members
	 */
	record AttachLinks(ActorRef<MemberLinkCommand> links) implements ReplicaMessage {

	}

	/**
	 * A message of another member.
	 *
	 * @param envelope the message
	 */
	record FromMember(ConsensusEnvelope envelope) implements ReplicaMessage {

	}

	/**
	 * A message of an entry host. {@link ClientMessage.Propose},
	 * {@link ClientMessage.ReadIndex}, {@link ClientMessage.ChangeMember} and
	 * {@link ClientMessage.QueryRequest} get one reply.
	 *
	 * @param sender the life of the entry host
	 * @param message the message
	 * @param session takes replies and the configuration feed
	 */
	record FromClient(Holder sender, ClientMessage message, ActorRef<ClientMessage> session) implements ReplicaMessage {

	}

	/**
	 * The connection of an entry host has ended.
	 *
	 * @param session its session
	 */
	record ClientDisconnected(ActorRef<ClientMessage> session) implements ReplicaMessage {

	}

	/**
	 * Proposes a command of this process.
	 *
	 * @param request the command; the correlation number comes back in the reply
	 * @param replyTo gets {@link ClientMessage.ProposeReply} as soon as the command is
	 * applied, {@link ClientMessage.NotLeader} or {@link ClientMessage.ProposalUnknown}
	 */
	record Propose(ClientMessage.Propose request, ActorRef<? super ClientMessage> replyTo) implements ReplicaMessage {

	}

	/**
	 * Asks for immutable records of the state machine and the leadership status.
	 *
	 * @param replyTo gets them
	 */
	record FetchRecords(ActorRef<? super FleetRecords> replyTo) implements ReplicaMessage {

	}

	/**
	 * Asks to be told whenever the records or the leadership change.
	 *
	 * @param watcher is told; a second request of the same one changes nothing
	 */
	record Watch(ActorRef<? super RecordsChanged> watcher) implements ReplicaMessage {

	}

	/**
	 * Asks where this member stands.
	 *
	 * @param replyTo gets the status
	 */
	record FetchStatus(ActorRef<? super ControlStatus> replyTo) implements ReplicaMessage {

	}

	/**
	 * Hands the leadership over before a planned stop.
	 *
	 * @param replyTo is told when this member does not lead any more
	 */
	record TransferLeadership(ActorRef<? super LeadershipTransferred> replyTo) implements ReplicaMessage {

	}

	/** Entries were applied, or this member leads or follows now. */
	enum RecordsChanged {

		/** The only instance. */
		INSTANCE

	}

	/** This member does not lead, or does not any more. */
	enum LeadershipTransferred {

		/** It did not lead when it was asked. */
		WAS_FOLLOWER,

		/** It led, so entry hosts may still send to it. */
		WAS_LEADER

	}

}
