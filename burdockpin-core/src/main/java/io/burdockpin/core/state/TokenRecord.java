package io.burdockpin.core.state;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;

/**
 * The tokens of one team that one life of an entry host has.
 *
 * @param team the team
 * @param holder the life of an entry host
 * @param ownedCount tokens owned until returned
 * @param leasedCount tokens that lapse when they are not renewed
 * @param version log index of the last change
 */
public record TokenRecord(TeamName team, Holder holder, int ownedCount, int leasedCount, long version) {

	/**
	 * Returns all tokens, owned and leased ones.
	 * @return the number of tokens
	 */
	public int count() {
		return this.ownedCount + this.leasedCount;
	}

}
