package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a host pool.
 *
 * @param value the name, 1 to 63 characters
 */
public record PoolName(String value) implements Comparable<PoolName> {

	public PoolName {
		Checks.name("pool", value);
	}

	@Override
	public int compareTo(PoolName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
