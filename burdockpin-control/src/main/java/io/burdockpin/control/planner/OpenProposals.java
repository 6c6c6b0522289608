package io.burdockpin.control.planner;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.state.Command;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Tracks the proposals of one round that have not been answered. Replies to proposals of
 * abandoned rounds are ignored. Mutable; owned by one actor.
 */
final class OpenProposals {

	private final ActorRef<ReplicaMessage> replica;

	private final Set<Long> open = new HashSet<>();

	private long lastCorrelation;

	OpenProposals(ActorRef<ReplicaMessage> replica) {
		this.replica = replica;
	}

	void propose(List<Command> commands, ActorRef<ClientMessage> replyTo) {
		this.open.clear();
		for (Command command : commands) {
			this.lastCorrelation++;
			this.open.add(this.lastCorrelation);
			ClientMessage.Propose request = new ClientMessage.Propose(this.lastCorrelation, Optional.empty(),
					OptionalLong.empty(), command);
			this.replica.tell(new ReplicaMessage.Propose(request, replyTo));
		}
	}

	/**
	 * Handles a reply.
	 * @param reply the reply to a proposal
	 * @return {@code true} if it was the last pending reply of the current round
	 */
	boolean onReply(ClientMessage reply) {
		return correlationOf(reply).map(this.open::remove).orElse(false) && this.open.isEmpty();
	}

	private static Optional<Long> correlationOf(ClientMessage reply) {
		if (reply instanceof ClientMessage.ProposeReply applied) {
			return Optional.of(applied.correlation());
		}
		if (reply instanceof ClientMessage.NotLeader notLeader) {
			return Optional.of(notLeader.correlation());
		}
		if (reply instanceof ClientMessage.ProposalUnknown unknown) {
			return Optional.of(unknown.correlation());
		}
		return Optional.empty();
	}

}
