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
 * The actors that HTTP requests are passed to.
 *
 * @param system the actor system
 * @param router takes requests of callers and announcements of runners
 * @param tokens owns the tokens of the teams
 * @param control calls the leader
 * @param workers takes announcements of workers
 * @param operators takes requests of operators
 */
public record EntryActors(ActorSystem<?> system, ActorRef<RouterCommand> router, ActorRef<TokenCommand> tokens,
		ActorRef<ControlCommand> control, ActorRef<WorkerCommand> workers, ActorRef<OperatorCommand> operators) {

	<M, R> CompletionStage<R> ask(ActorRef<M> actor, Function<ActorRef<R>, M> message, Duration timeout) {
		return AskPattern.ask(actor, message, timeout, this.system.scheduler());
	}

}
