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
 * with their shares as weights and skips teams whose requests cannot start, so that no
 * slot stays free while another team waits. Mutable; owned by one actor.
 */
public final class RequestQueue {

	private final int maximumLength;

	private final Map<Optional<TeamName>, TeamQueue> teamQueues = new HashMap<>();

	private double virtualTime;

	private int length;

	/**
	 * Creates an empty queue.
	 * @param maximumLength how many requests may wait
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
	 * Puts a request back that was taken but could not start. It is the first of its team
	 * again and does not count as served. The length limit does not apply, because the
	 * request was accepted before.
	 * @param request the request
	 */
	public void putBack(QueuedRequest request) {
		TeamQueue lane = teamQueue(request);
		lane.requests.addFirst(request);
		lane.virtualTime -= 1.0 / request.weight();
		this.length++;
	}

	/**
	 * Takes the next request.
	 * @param startable tells whether a request can start now; asked for the first request
	 * of each team only
	 * @return the next request that can start, if there is any
	 */
	public Optional<QueuedRequest> poll(Predicate<QueuedRequest> startable) {
		Map<Boolean, List<TeamQueue>> lanesByStartable = this.teamQueues.values()
			.stream()
			.filter((lane) -> !lane.requests.isEmpty())
			.collect(Collectors.partitioningBy((lane) -> startable.test(lane.requests.peekFirst())));
		Optional<TeamQueue> next = lanesByStartable.get(true)
			.stream()
			.min(Comparator.comparingDouble((TeamQueue lane) -> lane.virtualTime)
				.thenComparingLong((lane) -> lane.requests.peekFirst().number()));
		next.ifPresent((lane) -> forfeitCredit(lanesByStartable.get(false), lane.virtualTime));
		return next.map(this::serve);
	}

	/**
	 * Removes a request.
	 * @param number the number of the request
	 * @return the request, if it was waiting
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
	 * Tells whether no more request is accepted.
	 * @return whether the queue is full
	 */
	public boolean isFull() {
		return this.length >= this.maximumLength;
	}

	/**
	 * Returns how many requests wait.
	 * @return the length
	 */
	public int length() {
		return this.length;
	}

	/**
	 * Counts the waiting requests of a team.
	 * @param team the team
	 * @return the count
	 */
	public int waitingCount(TeamName team) {
		TeamQueue lane = this.teamQueues.get(Optional.of(team));
		return (lane != null) ? lane.requests.size() : 0;
	}

	// helpers

	private TeamQueue teamQueue(QueuedRequest request) {
		TeamQueue lane = this.teamQueues.computeIfAbsent(request.team(), (team) -> new TeamQueue());
		if (lane.requests.isEmpty()) {
			// A team gets no credit for the time in which it had nothing to run.
			lane.virtualTime = Math.max(lane.virtualTime, this.virtualTime);
		}
		return lane;
	}

	private QueuedRequest serve(TeamQueue lane) {
		QueuedRequest request = lane.requests.removeFirst();
		this.virtualTime = Math.max(this.virtualTime, lane.virtualTime);
		lane.virtualTime += 1.0 / request.weight();
		this.length--;
		return request;
	}

	private static void forfeitCredit(List<TeamQueue> blockedLanes, double servedTime) {
		// Keeps a team at its upper limit from taking all slots once it may run again.
		for (TeamQueue lane : blockedLanes) {
			lane.virtualTime = Math.max(lane.virtualTime, servedTime);
		}
	}

	private List<QueuedRequest> remove(Predicate<QueuedRequest> condition) {
		List<QueuedRequest> removed = new ArrayList<>();
		for (TeamQueue lane : this.teamQueues.values()) {
			Iterator<QueuedRequest> iterator = lane.requests.iterator();
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
