package io.burdockpin.core.limit;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.TokenRecord;

/**
 * Identifies the tokens of one team at one incarnation of an entry host.
 *
 * @param team the team
 * @param holder the incarnation of the entry host
 */
record TokenKey(TeamName team, Holder holder) {

	static TokenKey of(TokenRecord record) {
		return new TokenKey(record.team(), record.holder());
	}

}
