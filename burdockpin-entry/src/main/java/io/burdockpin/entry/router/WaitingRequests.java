package io.burdockpin.entry.router;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.retry.RetryBudget;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.RequestQueue;

/**
 * Holds the waiting requests of one queue with their enqueue commands, which carry the
 * actors to notify. Mutable; owned by the router.
 */
final class WaitingRequests {

	private final RequestQueue queue;

	private final RetryBudget retryBudget = new RetryBudget();

	private final Map<Long, RouterCommand.Enqueue> entries = new HashMap<>();

	WaitingRequests(int maximumLength) {
		this.queue = new RequestQueue(maximumLength);
	}

	RequestQueue queue() {
		return this.queue;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	boolean add(RouterCommand.Enqueue entry) {
		boolean accepted = this.queue.offer(entry.request());
		if (accepted) {
			this.entries.put(entry.request().number(), entry);
		}
		return accepted;
	}

	void putBack(RouterCommand.Enqueue entry) {
		this.queue.putBack(entry.request());
		this.entries.put(entry.request().number(), entry);
	}

	RouterCommand.Enqueue entry(QueuedRequest request) {
		return this.entries.get(request.number());
	}

	Optional<RouterCommand.Enqueue> take(QueuedRequest request) {
		return Optional.ofNullable(this.entries.remove(request.number()));
	}

}
