package io.burdockpin.entry.token;

import java.util.List;
import java.util.Map;

import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.limit.TokenCount;
import io.burdockpin.core.model.TeamName;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages to the token actor. */
public sealed interface TokenCommand {

	/**
	 * Acquires a token for an attempt.
	 *
	 * @param team team whose token is used
	 * @param attempt number of the attempt
	 * @param deadlineMillis deadline of the attempt in milliseconds since the epoch
	 * @param replyTo receives a {@link TokenEvent.AcquireResult}
	 */
	record Acquire(TeamName team, long attempt, long deadlineMillis,
			ActorRef<TokenEvent> replyTo) implements TokenCommand {

	}

	/**
	 * Releases the token of an attempt that certainly is not running.
	 *
	 * @param attempt number of the attempt
	 */
	record Release(long attempt) implements TokenCommand {

	}

	/**
	 * Holds the token of an attempt that may still be running until its deadline.
	 *
	 * @param attempt number of the attempt
	 */
	record Hold(long attempt) implements TokenCommand {

	}

	/**
	 * Updates the number of requests that wait for tokens.
	 *
	 * @param waitingCounts number of waiting requests by team; none for a missing team
	 */
	record Demand(Map<TeamName, Integer> waitingCounts) implements TokenCommand {

		public Demand {
			waitingCounts = Map.copyOf(waitingCounts);
		}

	}

	/**
	 * Subscribes to the teams with idle tokens.
	 *
	 * @param subscriber receives a {@link TokenEvent.Available} for each
	 */
	record Subscribe(ActorRef<TokenEvent> subscriber) implements TokenCommand {

	}

	/**
	 * Requests the number of tokens of each team.
	 *
	 * @param replyTo receives the counts
	 */
	record ReportCounts(ActorRef<Counts> replyTo) implements TokenCommand {

	}

	/**
	 * Reply to {@link ReportCounts}.
	 *
	 * @param teams token counts, one entry for each team
	 */
	record Counts(List<TokenCount> teams) {

		public Counts {
			teams = List.copyOf(teams);
		}

	}

	/**
	 * Returns the idle tokens to the leader before the process ends.
	 *
	 * @param replyTo notified when the leader has replied or the call has timed out
	 */
	record Drain(ActorRef<Done> replyTo) implements TokenCommand {

	}

	/**
	 * The registration of this incarnation has ended.
	 *
	 * @param result result of the proposal
	 */
	record Registered(CallResult result) implements TokenCommand {

	}

	/**
	 * A report to the leader has ended.
	 *
	 * @param result result of the call
	 */
	record ReportEnded(CallResult result) implements TokenCommand {

	}

	/**
	 * The leader has pushed grants without waiting for the next report.
	 *
	 * @param grants the new grants
	 */
	record GrantsPushed(TokenGrants grants) implements TokenCommand {

	}

	/** Timer tick: sends the next report or retries the registration. */
	enum Tick implements TokenCommand {

		/** The only instance. */
		INSTANCE

	}

}
