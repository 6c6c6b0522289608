package io.burdockpin.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.burdockpin.core.model.TeamName;

/**
 * Requests of one queue that wait for a slot. Serves the teams by weighted fair queueing
 * and skips teams whose requests cannot start, so that no slot stays free while another
 * team has requests waiting. Mutable, owned by one actor.
 */
public final class RequestQueue {

	private final int maximumLength;

	private final Map<Optional<TeamName>, TeamQueue> teamQueues = new HashMap<>();

	private double virtualTime;

	private int length;

	/**
	 * Creates an empty queue.
	 * @param maximumLength maximum number of waiting requests
	 */
	public RequestQueue(int maximumLength) {
		this.maximumLength = maximumLength;
	}

	// access

	/**
	 * Appends a request.
	 * @param request the request
	 * @return {@code false} if the queue is full
	 */
	public boolean offer(QueuedRequest request) {
		if (isFull()) {
			return false;
		}
		teamQueue(request).requests.addLast(request);
		this.length++;
		return true;
	}

	/**
	 * Puts back a request that was taken but could not start. It becomes the first of its
	 * team again and does not count as served. The maximum length does not apply, because
	 * the request has been accepted before.
	 * @param request the request
	 */
	public void putBack(QueuedRequest request) {
		TeamQueue queue = teamQueue(request);
		queue.requests.addFirst(request);
		queue.virtualTime -= 1.0 / request.weight();
		this.length++;
	}

	/**
	 * Takes the next request that can start.
	 * @param startable tells whether a request can start now; called only for the first
	 * request of each team
	 * @return the request, empty if none can start
	 */
	public Optional<QueuedRequest> poll(Predicate<QueuedRequest> startable) {
		Map<Boolean, List<TeamQueue>> byStartable = this.teamQueues.values()
			.stream()
			.filter((queue) -> !queue.requests.isEmpty())
			.collect(Collectors.partitioningBy((queue) -> startable.test(queue.requests.peekFirst())));
		Optional<TeamQueue> next = byStartable.get(true)
			.stream()
			.min(Comparator.comparingDouble((TeamQueue queue) -> queue.virtualTime)
				.thenComparingLong((queue) -> queue.requests.peekFirst().number()));
		next.ifPresent((queue) -> forfeitCredit(byStartable.get(false), queue.virtualTime));
		return next.map(this::serve);
	}

	/**
	 * Removes a request.
	 * @param number number of the request
	 * @return the request, empty if it was not waiting
	 */
	public Optional<QueuedRequest> cancel(long number) {
		return remove((request) -> request.number() == number).stream().findFirst();
	}

	/**
	 * Removes the requests whose deadline has passed.
	 * @param nowMillis the current time
	 * @return the removed requests
	 */
	public List<QueuedRequest> expire(long nowMillis) {
		return remove((request) -> request.deadlineMillis() <= nowMillis);
	}

	/**
	 * Tells whether the queue has reached its maximum length.
	 * @return whether further requests are rejected
	 */
	public boolean isFull() {
		return this.length >= this.maximumLength;
	}

	/**
	 * Returns the length of the queue.
	 * @return the number of waiting requests of all teams
	 */
	public int length() {
		return this.length;
	}

	/**
	 * Counts the waiting requests of a team.
	 * @param team the team
	 * @return the number of waiting requests
	 */
	public int waitingCount(TeamName team) {
		TeamQueue queue = this.teamQueues.get(Optional.of(team));
		return (queue != null) ? queue.requests.size() : 0;
	}

	// helpers

	private TeamQueue teamQueue(QueuedRequest request) {
		TeamQueue queue = this.teamQueues.computeIfAbsent(request.team(), (team) -> new TeamQueue());
		if (queue.requests.isEmpty()) {
			// A team gets no credit for the time in which it had no requests.
			queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime);
		}
		return queue;
	}

	private QueuedRequest serve(TeamQueue queue) {
		QueuedRequest request = queue.requests.removeFirst();
		this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
		queue.virtualTime += 1.0 / request.weight();
		this.length--;
		return request;
	}

	private static void forfeitCredit(List<TeamQueue> blockedQueues, double servedVirtualTime) {
		// Prevents a team at its upper limit from taking all slots once it may run again.
		for (TeamQueue queue : blockedQueues) {
			queue.virtualTime = Math.max(queue.virtualTime, servedVirtualTime);
		}
	}

	private List<QueuedRequest> remove(Predicate<QueuedRequest> condition) {
		List<QueuedRequest> removed = new ArrayList<>();
		for (TeamQueue queue : this.teamQueues.values()) {
			Iterator<QueuedRequest> iterator = queue.requests.iterator();
			while (iterator.hasNext()) {
				QueuedRequest request = iterator.next();
				if (condition.test(request)) {
					iterator.remove();
					removed.add(request);
				}
			}
		}
		this.length -= removed.size();
		return removed;
	}

	private static final class TeamQueue {

		private final Deque<QueuedRequest> requests = new ArrayDeque<>();

		private double virtualTime;

	}

}
