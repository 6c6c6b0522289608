package io.burdockpin.batch.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Sends calls to the leader from HTTP handlers, which run outside the actor system.
 * Immutable.
 *
 * @param leader the client that forwards calls to the current leader
 */
public record LeaderCalls(ActorRef<LeaderClientCommand> leader) {

	/**
	 * Sends a call.
	 * @param call the call
	 * @param timeoutMillis how long to wait for the reply
	 * @return the reply; never fails
	 */
	public CompletionStage<FleetReply> ask(FleetCall call, long timeoutMillis) {
		CompletableFuture<FleetReply> reply = new CompletableFuture<>();
		this.leader.tell(new LeaderClientCommand.Ask(call, timeoutMillis, reply::complete));
		return reply;
	}

}
