package io.burdockpin.core.state;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;

/**
 * The tokens of one team that one incarnation of an entry host has.
 *
 * @param team the team whose limit the tokens divide
 * @param holder the incarnation of the entry host
 * @param ownedCount tokens owned until returned
 * @param leasedCount tokens that expire unless they are renewed
 * @param version log index of the last change
 */
public record TokenRecord(TeamName team, Holder holder, int ownedCount, int leasedCount, long version) {

	/**
	 * Returns the number of all tokens, owned and leased.
	 * @return the number of tokens, 0 or more
	 */
	public int count() {
		return this.ownedCount + this.leasedCount;
	}

}
