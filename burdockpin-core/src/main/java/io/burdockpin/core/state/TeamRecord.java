package io.burdockpin.core.state;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;

/**
 * A team in the replicated state.
 *
 * @param spec share and limits
 * @param version grows with each change
 */
public record TeamRecord(TeamSpec spec, long version) {

	/**
	 * Returns the name.
	 * @return the name of the team
	 */
	public TeamName name() {
		return this.spec.name();
	}

}
