package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Identifier of a job, derived from the identifier of the submitting request.
 *
 * @param value the identifier, 1 to 63 characters
 */
public record JobId(String value) implements Comparable<JobId> {

	public JobId {
		Checks.name("job", value);
	}

	@Override
	public int compareTo(JobId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
