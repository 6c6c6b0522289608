package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a queue. Requests of a queue are served by the runners of one service.
 *
 * @param value the name, 1 to 63 characters
 */
public record QueueName(String value) implements Comparable<QueueName> {

	public QueueName {
		Checks.name("queue", value);
	}

	@Override
	public int compareTo(QueueName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
