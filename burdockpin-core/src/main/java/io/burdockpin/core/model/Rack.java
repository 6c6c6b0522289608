package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a rack, a failure domain inside a data centre.
 *
 * @param value the name, 1 to 63 characters
 */
public record Rack(String value) implements Comparable<Rack> {

	public Rack {
		Checks.name("rack", value);
	}

	@Override
	public int compareTo(Rack other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
