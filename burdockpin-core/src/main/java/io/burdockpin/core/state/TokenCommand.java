package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;

/** A change of how the teams' upper limits are divided. */
public sealed interface TokenCommand extends Command {

	/**
	 * Registers a new life of an entry host. Tokens of its earlier lives become blocked.
	 *
	 * @param holder the new life
	 * @param dataCentre where the entry host stands
	 */
	record RegisterHolder(Holder holder, DataCentre dataCentre) implements TokenCommand {

	}

	/**
	 * Sets how many tokens of a team a holder has. A higher count must fit under the
	 * limit; a lower count has been confirmed by the holder or has lapsed.
	 *
	 * @param team the team
	 * @param holder the holder
	 * @param ownedCount tokens owned until returned
	 * @param leasedCount tokens that lapse when they are not renewed
	 * @param expectedVersion version of the token record that the decision was based on,
	 * 0 if there was none; a late command must not undo a newer grant
	 */
	record GrantTokens(TeamName team, Holder holder, int ownedCount, int leasedCount,
			long expectedVersion) implements TokenCommand {

	}

	/**
	 * Frees all tokens of a life that can have no request running any more.
	 *
	 * @param holder the ended life
	 */
	record ReleaseHolder(Holder holder) implements TokenCommand {

	}

	/**
	 * Declares an entry host destroyed. Its tokens become blocked as after a restart.
	 *
	 * @param host the entry host
	 */
	record ForgetHost(HostName host) implements TokenCommand {

	}

}
