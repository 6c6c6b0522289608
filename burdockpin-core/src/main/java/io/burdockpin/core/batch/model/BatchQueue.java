package io.burdockpin.core.batch.model;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * A queue of jobs.
 *
 * @param name chosen by the operator; another configuration may name the queue otherwise
 * @param host the virtual host that callers address
 * @param pathPrefix the prefix of the paths that belong to the queue; starts with a slash
 * @param open whether callers need no key
 * @param pool the name of the pool whose runners run the tasks
 * @param priority scheduling priority; 0 is the highest
 * @param maximumAttempts number of failed runs of a task after which its job fails
 * @param timeoutMillis time limit of a call to the queue
 * @param targetLatencyMillis constant part of the latency objective of a job
 * @param stretch factor by which the latency objective grows with the critical path of a
 * job
 */
public record BatchQueue(String name, String host, String pathPrefix, boolean open, String pool, int priority,
		int maximumAttempts, int timeoutMillis, int targetLatencyMillis, double stretch) {

	public BatchQueue {
		if (!pathPrefix.startsWith("/")) {
			throw new InvalidValueException(
					"path prefix \"%s\" of queue %s does not start with a slash".formatted(pathPrefix, name));
		}
		Checks.range("timeoutMillis of queue " + name, timeoutMillis, 1, Integer.MAX_VALUE);
		Checks.range("maximumAttempts of queue " + name, maximumAttempts, 1, Integer.MAX_VALUE);
	}

	/**
	 * Returns what identifies the queue across configurations.
	 * @return the host and the path prefix
	 */
	public QueueAddress address() {
		return new QueueAddress(this.host, this.pathPrefix);
	}

}
