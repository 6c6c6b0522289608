package io.burdockpin.control.replica;

import io.burdockpin.control.link.MemberLinkCommand;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.model.Holder;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link ReplicaActor}. */
public sealed interface ReplicaMessage {

	/** Timer messages of the actor to itself. */
	enum Timer implements ReplicaMessage {

		/** Advances the clock of the consensus logic. */
		TICK,

		/** Sends heartbeats to the subscribers and updates the metrics. */
		FEED

	}

	/**
	 * All writes up to a number are synced.
	 *
	 * @param number number of the last synced write
	 */
	record Written(long number) implements ReplicaMessage {

	}

	/**
	 * Connects the actor to the links to other members.
	 *
	 * @param links receives the messages to other members
	 */
	record AttachLinks(ActorRef<MemberLinkCommand> links) implements ReplicaMessage {

	}

	/**
	 * A message from another member.
	 *
	 * @param envelope the message with its sender and cluster
	 */
	record FromMember(ConsensusEnvelope envelope) implements ReplicaMessage {

	}

	/**
	 * A message from an entry host. {@link ClientMessage.Propose},
	 * {@link ClientMessage.ReadIndex}, {@link ClientMessage.ChangeMember} and
	 * {@link ClientMessage.QueryRequest} are answered with exactly one reply each.
	 *
	 * @param sender the incarnation of the entry host
	 * @param message a message other than a token or worker report
	 * @param session receives the replies and the configuration feed
	 */
	record FromClient(Holder sender, ClientMessage message, ActorRef<ClientMessage> session) implements ReplicaMessage {

	}

	/**
	 * An entry host has disconnected.
	 *
	 * @param session session of the closed connection
	 */
	record ClientDisconnected(ActorRef<ClientMessage> session) implements ReplicaMessage {

	}

	/**
	 * Proposes a command on behalf of this process.
	 *
	 * @param request the command; the reply has the same correlation number
	 * @param replyTo receives {@link ClientMessage.ProposeReply} when the command is
	 * applied, otherwise {@link ClientMessage.NotLeader} or
	 * {@link ClientMessage.ProposalUnknown}
	 */
	record Propose(ClientMessage.Propose request, ActorRef<? super ClientMessage> replyTo) implements ReplicaMessage {

	}

	/**
	 * Requests the records of the state machine and the leadership status. A leader
	 * answers once a majority has confirmed that it led after the request, or when it
	 * steps down. Requests are answered in their order.
	 *
	 * @param replyTo receives an immutable copy
	 */
	record FetchRecords(ActorRef<? super FleetRecords> replyTo) implements ReplicaMessage {

	}

	/**
	 * Subscribes to changes of the records and the leadership.
	 *
	 * @param watcher receives a message at once and after each change; subscribing again
	 * only repeats the first message
	 */
	record Watch(ActorRef<? super RecordsChanged> watcher) implements ReplicaMessage {

	}

	/**
	 * Requests the status of this member.
	 *
	 * @param replyTo receives the status
	 */
	record FetchStatus(ActorRef<? super ControlStatus> replyTo) implements ReplicaMessage {

	}

	/**
	 * Transfers the leadership to another member before a planned stop.
	 *
	 * @param replyTo receives a message when this member is not the leader
	 */
	record TransferLeadership(ActorRef<? super LeadershipTransferred> replyTo) implements ReplicaMessage {

	}

	/** Entries or a snapshot were applied, or the leadership has changed. */
	enum RecordsChanged {

		/** The only instance. */
		INSTANCE

	}

	/** Reply to {@link TransferLeadership} when this member is not the leader. */
	enum LeadershipTransferred {

		/** This member was not the leader at the time of the request. */
		WAS_FOLLOWER,

		/** This member was the leader, so entry hosts may still send proposals to it. */
		WAS_LEADER

	}

}
