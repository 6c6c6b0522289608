package io.burdockpin.entry.router;

import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.entry.peer.PeerCommand;
import org.apache.pekko.actor.typed.ActorRef;

/** The decision of the router on a waiting request. */
sealed interface Dispatch {

	/** Attempt number of a dispatch without an attempt. */
	long NONE = 0;

	/**
	 * Returns the number of the attempt.
	 * @return the number, {@link #NONE} if no attempt is made
	 */
	long attempt();

	/**
	 * Starts an attempt on a runner attached to this entry host.
	 *
	 * @param attempt number of the attempt
	 * @param runner the runner
	 * @param runnerDeadlineMillis the deadline by the clock of the runner; empty if the
	 * runner announced no clock
	 * @param connections sends the request to the runner
	 */
	record ToRunner(long attempt, Runner runner, OptionalLong runnerDeadlineMillis,
			ActorRef<RunnerConnections.Command> connections) implements Dispatch {

	}

	/**
	 * Forwards the request to another entry host.
	 *
	 * @param attempt number of the attempt
	 * @param host the entry host
	 * @param peers forwards the request
	 */
	record ToPeer(long attempt, HostName host, ActorRef<PeerCommand> peers) implements Dispatch {

	}

	/**
	 * Refuses an attempt.
	 *
	 * @param code the error code for the caller
	 * @param message the error message for the caller
	 */
	record NoAttempt(ErrorCode code, String message) implements Dispatch {

		@Override
		public long attempt() {
			return NONE;
		}

	}

}
