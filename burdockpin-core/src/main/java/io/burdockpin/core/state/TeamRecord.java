package io.burdockpin.core.state;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;

/**
 * A team in the replicated state.
 *
 * @param spec name, share and limits of the team
 * @param version log index of the last change, compared with the version an operator
 * expects
 */
public record TeamRecord(TeamSpec spec, long version) {

	/**
	 * Returns the name of the team.
	 * @return the name, unique among teams
	 */
	public TeamName name() {
		return this.spec.name();
	}

}
