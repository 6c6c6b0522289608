package io.burdockpin.core.batch.model;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * A queue of jobs.
 *
 * @param name the name
 * @param host the virtual host that callers address
 * @param pathPrefix the prefix of the paths that belong to the queue
 * @param open whether calls need no key
 * @param pool the pool whose runners run the tasks
 * @param priority 0 comes first
 * @param maximumAttempts how often a task may fail before its job has failed
 * @param timeoutMillis how long a call may take
 * @param targetLatencyMillis latency objective of a job without its work
 * @param stretch factor on the longest chain of work in the latency objective
 */
public record BatchQueue(String name, String host, String pathPrefix, boolean open, String pool, int priority,
		int maximumAttempts, int timeoutMillis, int targetLatencyMillis, double stretch) {

	public BatchQueue {
		if (!pathPrefix.startsWith("/")) {
			throw new InvalidValueException(
					"path prefix \"%s\" of queue %s has no leading slash".formatted(pathPrefix, name));
		}
		Checks.range("timeoutMillis of queue " + name, timeoutMillis, 1, Integer.MAX_VALUE);
		Checks.range("maximumAttempts of queue " + name, maximumAttempts, 1, Integer.MAX_VALUE);
	}

}
