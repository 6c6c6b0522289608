package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.operator.OperatorCommand;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.entry.worker.WorkerCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.japi.function.Function;

/**
 * References to the actors that the HTTP endpoints use.
 *
 * @param system the actor system, which schedules timeouts
 * @param router handles caller requests and runner announcements
 * @param tokens owns the tokens of the teams
 * @param control forwards calls to the leader
 * @param workers handles worker announcements
 * @param operators handles operator requests
 */
public record EntryActors(ActorSystem<?> system, ActorRef<RouterCommand> router, ActorRef<TokenCommand> tokens,
		ActorRef<ControlCommand> control, ActorRef<WorkerCommand> workers, ActorRef<OperatorCommand> operators) {

	<M, R> CompletionStage<R> ask(ActorRef<M> actor, Function<ActorRef<R>, M> message, Duration timeout) {
		return AskPattern.ask(actor, message, timeout, this.system.scheduler());
	}

}
