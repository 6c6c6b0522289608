package io.burdockpin.control.planner;

import java.util.List;

import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.state.Command;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Interface of the replica for the planners. The methods only send messages, so any actor
 * may call them.
 */
public interface ReplicaPort {

	/**
	 * Requests a view of the current records.
	 * @param replyTo receives exactly one reply
	 */
	void requestView(ActorRef<ReplicaView> replyTo);

	/**
	 * Subscribes to changes of the records and the leadership.
	 * @param watcher receives a message after each change
	 */
	void watch(ActorRef<ReplicaMessage.RecordsChanged> watcher);

	/**
	 * Proposes commands in order. A command with an unknown outcome counts as rejected;
	 * the next view shows whether it was applied.
	 * @param commands the commands of one round
	 * @param replyTo receives one message after all commands have been answered
	 */
	void propose(List<Command> commands, ActorRef<ProposalsEnded> replyTo);

	/**
	 * The outcome of the proposed commands.
	 *
	 * @param acceptedCount number of accepted commands
	 * @param rejectedCount number of commands that were rejected, not proposed, or have
	 * an unknown outcome
	 */
	record ProposalsEnded(int acceptedCount, int rejectedCount) {
	}

}
