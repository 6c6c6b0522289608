package io.burdockpin.entry.token;

import io.burdockpin.core.model.TeamName;

/** Events of the token actor. */
public sealed interface TokenEvent {

	/**
	 * Reply to {@link TokenCommand.Acquire}.
	 *
	 * @param attempt number of the attempt
	 * @param team team whose token was requested
	 * @param granted whether the attempt now holds a token
	 */
	record AcquireResult(long attempt, TeamName team, boolean granted) implements TokenEvent {

	}

	/**
	 * A team has an idle token.
	 *
	 * @param team team that can start an attempt
	 */
	record Available(TeamName team) implements TokenEvent {

	}

}
