package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a runner, an instance of an upstream.
 *
 * @param value the name, 1 to 63 characters
 */
public record RunnerName(String value) implements Comparable<RunnerName> {

	public RunnerName {
		Checks.name("runner", value);
	}

	@Override
	public int compareTo(RunnerName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
