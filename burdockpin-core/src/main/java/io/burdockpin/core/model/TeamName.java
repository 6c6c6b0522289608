package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a team.
 *
 * @param value the name, 1 to 63 characters
 */
public record TeamName(String value) implements Comparable<TeamName> {

	public TeamName {
		Checks.name("team", value);
	}

	@Override
	public int compareTo(TeamName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
