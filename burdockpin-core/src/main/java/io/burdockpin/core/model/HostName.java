package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a host: a worker, an entry host or a control member.
 *
 * @param value the name, 1 to 63 characters
 */
public record HostName(String value) implements Comparable<HostName> {

	public HostName {
		Checks.name("host", value);
	}

	@Override
	public int compareTo(HostName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
