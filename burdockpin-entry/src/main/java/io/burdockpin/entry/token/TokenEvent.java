package io.burdockpin.entry.token;

import io.burdockpin.core.model.TeamName;

/** What the owner of the tokens tells. */
public sealed interface TokenEvent {

	/**
	 * Answer to a request for a token.
	 *
	 * @param attempt number of the attempt
	 * @param team the team
	 * @param granted whether the attempt has a token now
	 */
	record AcquireResult(long attempt, TeamName team, boolean granted) implements TokenEvent {

	}

	/**
	 * A team has an idle token.
	 *
	 * @param team the team
	 */
	record Available(TeamName team) implements TokenEvent {

	}

}
