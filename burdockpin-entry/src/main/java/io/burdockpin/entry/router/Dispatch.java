package io.burdockpin.entry.router;

import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.entry.peer.PeerCommand;
import org.apache.pekko.actor.typed.ActorRef;

/** What the router tells a waiting request. */
sealed interface Dispatch {

	/** Number of a dispatch that makes no attempt. */
	long NONE = 0;

	/**
	 * Returns the number of the attempt.
	 * @return the number, {@link #NONE} if no attempt is made
	 */
	long attempt();

	/**
	 * Make an attempt on an attached runner.
	 *
	 * @param attempt number of the attempt
	 * @param runner the runner
	 * @param runnerDeadlineMillis the deadline by the clock of the runner, if it is known
	 * @param connections makes the attempt
	 */
	record ToRunner(long attempt, Runner runner, OptionalLong runnerDeadlineMillis,
			ActorRef<RunnerConnections.Command> connections) implements Dispatch {

	}

	/**
	 * Make an attempt at another entry host.
	 *
	 * @param attempt number of the attempt
	 * @param host the entry host
	 * @param peers forwards it
	 */
	record ToPeer(long attempt, HostName host, ActorRef<PeerCommand> peers) implements Dispatch {

	}

	/**
	 * No attempt will be made.
	 *
	 * @param code the reason
	 * @param message the reason in words
	 */
	record NoAttempt(ErrorCode code, String message) implements Dispatch {

		@Override
		public long attempt() {
			return NONE;
		}

	}

}
