package io.burdockpin.core.limit;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.TokenRecord;

/**
 * Identifies the tokens of one team at one life of an entry host.
 *
 * @param team the team
 * @param holder the life
 */
record TokenKey(TeamName team, Holder holder) {

	static TokenKey of(TokenRecord record) {
		return new TokenKey(record.team(), record.holder());
	}

}
