package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Identifier that a caller or operator gives to a request.
 *
 * @param value the identifier, 1 to 63 characters
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Checks.name("request identifier", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
