package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a data centre, the largest failure domain.
 *
 * @param value the name, 1 to 63 characters
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

	public DataCentre {
		Checks.name("data centre", value);
	}

	@Override
	public int compareTo(DataCentre other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
