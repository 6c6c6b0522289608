package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;

/** A change of how the upper limits of teams are divided among entry hosts. */
public sealed interface TokenCommand extends Command {

	/**
	 * Registers a new incarnation of an entry host. Tokens of its earlier incarnations
	 * become blocked.
	 *
	 * @param holder the host and its new incarnation
	 * @param dataCentre data centre of the entry host
	 */
	record RegisterHolder(Holder holder, DataCentre dataCentre) implements TokenCommand {

	}

	/**
	 * Sets the number of tokens of a team that a holder has. An increase must stay within
	 * the upper limit of the team; a decrease is proposed only after the holder has
	 * confirmed it or the leases have expired.
	 *
	 * @param team the team whose limit the tokens divide
	 * @param holder the incarnation of the entry host that gets the tokens
	 * @param ownedCount tokens owned until returned
	 * @param leasedCount tokens that expire unless they are renewed
	 * @param expectedVersion version of the token record that the decision was based on,
	 * 0 if there was none; keeps a delayed command from undoing a newer grant
	 */
	record GrantTokens(TeamName team, Holder holder, int ownedCount, int leasedCount,
			long expectedVersion) implements TokenCommand {

	}

	/**
	 * Releases all tokens of an ended incarnation once none of its requests can still be
	 * running.
	 *
	 * @param holder the ended incarnation of the entry host
	 */
	record ReleaseHolder(Holder holder) implements TokenCommand {

	}

	/**
	 * Declares an entry host destroyed, which ends its incarnation. Its tokens become
	 * blocked as after a restart.
	 *
	 * @param host name of the entry host
	 */
	record ForgetHost(HostName host) implements TokenCommand {

	}

}
