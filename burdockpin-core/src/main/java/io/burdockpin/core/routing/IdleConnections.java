package io.burdockpin.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Connections to runners that wait for their next request. Mutable; owned by one actor.
 *
 * @param <C> identifies a connection
 */
public final class IdleConnections<C> {

	private final long idleMillis;

	private final Map<RunnerAttachment, Deque<IdleConnection<C>>> idleByAttachment = new HashMap<>();

	private Map<RunnerAttachment, Integer> limits = Map.of();

	/**
	 * Creates an empty set.
	 * @param idleMillis how long a connection is kept
	 */
	public IdleConnections(long idleMillis) {
		this.idleMillis = idleMillis;
	}

	// life cycle

	/**
	 * Names the runners whose connections may be kept.
	 * @param newLimits how many for each; none for a runner that is missing
	 * @return the connections to close
	 */
	public List<C> updateLimits(Map<RunnerAttachment, Integer> newLimits) {
		this.limits = Map.copyOf(newLimits);
		List<C> closed = new ArrayList<>();
		this.idleByAttachment.forEach((life, idle) -> {
			while (idle.size() > limitOf(life)) {
				closed.add(idle.removeFirst().connection());
			}
		});
		this.idleByAttachment.values().removeIf(Deque::isEmpty);
		return closed;
	}

	/**
	 * Keeps a connection whose request has ended.
	 * @param life what it is connected to
	 * @param connection the connection
	 * @param nowMillis the current time
	 * @return {@code false} if it must be closed
	 */
	public boolean keep(RunnerAttachment life, C connection, long nowMillis) {
		if (count(life) >= limitOf(life)) {
			return false;
		}
		this.idleByAttachment.computeIfAbsent(life, (key) -> new ArrayDeque<>())
			.addLast(new IdleConnection<>(connection, nowMillis + this.idleMillis));
		return true;
	}

	/**
	 * Takes the connection that was used last, so that the others can expire.
	 * @param life what it must be connected to
	 * @param nowMillis the current time
	 * @return the connection, if one is idle and has not expired
	 */
	public Optional<C> take(RunnerAttachment life, long nowMillis) {
		Deque<IdleConnection<C>> idle = this.idleByAttachment.get(life);
		if (idle == null || idle.peekLast().untilMillis() <= nowMillis) {
			return Optional.empty();
		}
		C connection = idle.removeLast().connection();
		if (idle.isEmpty()) {
			this.idleByAttachment.remove(life);
		}
		return Optional.of(connection);
	}

	/**
	 * Forgets a connection that has closed.
	 * @param connection the connection
	 * @return whether it was idle
	 */
	public boolean remove(C connection) {
		boolean removed = false;
		for (Deque<IdleConnection<C>> idle : this.idleByAttachment.values()) {
			removed |= idle.removeIf((candidate) -> candidate.connection().equals(connection));
		}
		this.idleByAttachment.values().removeIf(Deque::isEmpty);
		return removed;
	}

	/**
	 * Removes the connections that have been idle for too long.
	 * @param nowMillis the current time
	 * @return the connections to close
	 */
	public List<C> expire(long nowMillis) {
		List<C> closed = new ArrayList<>();
		Iterator<Deque<IdleConnection<C>>> lives = this.idleByAttachment.values().iterator();
		while (lives.hasNext()) {
			Deque<IdleConnection<C>> idle = lives.next();
			while (!idle.isEmpty() && idle.peekFirst().untilMillis() <= nowMillis) {
				closed.add(idle.removeFirst().connection());
			}
			if (idle.isEmpty()) {
				lives.remove();
			}
		}
		return closed;
	}

	// access

	/**
	 * Counts the idle connections to a runner.
	 * @param life the attachment
	 * @return the count
	 */
	public int count(RunnerAttachment life) {
		return Optional.ofNullable(this.idleByAttachment.get(life)).map(Deque::size).orElse(0);
	}

	// helpers

	private int limitOf(RunnerAttachment life) {
		return this.limits.getOrDefault(life, 0);
	}

	private record IdleConnection<C>(C connection, long untilMillis) {

	}

}
