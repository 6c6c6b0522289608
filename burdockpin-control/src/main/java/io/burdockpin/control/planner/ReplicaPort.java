package io.burdockpin.control.planner;

import java.util.List;

import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.state.Command;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * What a planner needs of the replica actor. The methods only send messages, so they may
 * be called from any actor.
 */
public interface ReplicaPort {

	/**
	 * Asks for the records of a round.
	 * @param replyTo gets exactly one reply
	 */
	void requestView(ActorRef<ReplicaView> replyTo);

	/**
	 * Asks to be told whenever the records or the leadership change.
	 * @param watcher is told
	 */
	void watch(ActorRef<ReplicaMessage.RecordsChanged> watcher);

	/**
	 * Proposes commands in their order. A command whose fate stays unknown counts as
	 * ended; the next view shows whether it was applied.
	 * @param commands the commands
	 * @param replyTo gets one message when the fate of all commands is known or given up
	 */
	void propose(List<Command> commands, ActorRef<ProposalsEnded> replyTo);

	/**
	 * The fate of proposed commands.
	 *
	 * @param acceptedCount how many took effect
	 * @param rejectedCount how many were rejected or not proposed
	 */
	record ProposalsEnded(int acceptedCount, int rejectedCount) {
	}

}
