package io.burdockpin.entry.token;

import java.util.List;
import java.util.Map;

import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.limit.TokenCount;
import io.burdockpin.core.model.TeamName;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/** What the owner of the tokens can be asked. */
public sealed interface TokenCommand {

	/**
	 * Takes a token for an attempt.
	 *
	 * @param team the team
	 * @param attempt number of the attempt
	 * @param deadlineMillis when the attempt ends, in milliseconds since the epoch
	 * @param replyTo gets the decision
	 */
	record Acquire(TeamName team, long attempt, long deadlineMillis,
			ActorRef<TokenEvent> replyTo) implements TokenCommand {

	}

	/**
	 * Gives the token of an attempt back that certainly does not run.
	 *
	 * @param attempt number of the attempt
	 */
	record Release(long attempt) implements TokenCommand {

	}

	/**
	 * Keeps the token of an attempt in use that may still run.
	 *
	 * @param attempt number of the attempt
	 */
	record Hold(long attempt) implements TokenCommand {

	}

	/**
	 * Reports how many requests wait for tokens.
	 *
	 * @param waitingCounts the counts by team; a missing team has none
	 */
	record Demand(Map<TeamName, Integer> waitingCounts) implements TokenCommand {

		public Demand {
			waitingCounts = Map.copyOf(waitingCounts);
		}

	}

	/**
	 * Asks to be told when a team that was refused a token gets one.
	 *
	 * @param subscriber is told
	 */
	record Subscribe(ActorRef<TokenEvent> subscriber) implements TokenCommand {

	}

	/**
	 * Asks for the tokens of each team.
	 *
	 * @param replyTo gets them
	 */
	record ReportCounts(ActorRef<Counts> replyTo) implements TokenCommand {

	}

	/**
	 * Reply to {@link ReportCounts}.
	 *
	 * @param teams the tokens by team
	 */
	record Counts(List<TokenCount> teams) {

		public Counts {
			teams = List.copyOf(teams);
		}

	}

	/**
	 * Gives all tokens back before the process ends.
	 *
	 * @param replyTo is told when the leader knows, or when it cannot be reached
	 */
	record Drain(ActorRef<Done> replyTo) implements TokenCommand {

	}

	/**
	 * The registration of this life has ended.
	 *
	 * @param result how
	 */
	record Registered(CallResult result) implements TokenCommand {

	}

	/**
	 * A report has ended.
	 *
	 * @param result how
	 */
	record ReportEnded(CallResult result) implements TokenCommand {

	}

	/**
	 * The leader has granted tokens without a further report.
	 *
	 * @param grants the grants
	 */
	record GrantsPushed(TokenGrants grants) implements TokenCommand {

	}

	/** Time to report. */
	enum Tick implements TokenCommand {

		/** The only instance. */
		INSTANCE

	}

}
