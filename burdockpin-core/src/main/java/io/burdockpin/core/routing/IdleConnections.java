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
 * Idle connections to runners, kept for further requests. Mutable, owned by one actor.
 *
 * @param <C> identifies a connection
 */
public final class IdleConnections<C> {

	private final long idleMillis;

	private final Map<RunnerAttachment, Deque<IdleConnection<C>>> idleByAttachment = new HashMap<>();

	private Map<RunnerAttachment, Integer> limits = Map.of();

	/**
	 * Creates an instance without connections and with limits of 0.
	 * @param idleMillis how long an idle connection is kept
	 */
	public IdleConnections(long idleMillis) {
		this.idleMillis = idleMillis;
	}

	// life cycle

	/**
	 * Replaces the limits and removes the oldest connections above them.
	 * @param newLimits how many connections may be kept for each attachment; 0 for one
	 * that is missing
	 * @return the connections to close
	 */
	public List<C> updateLimits(Map<RunnerAttachment, Integer> newLimits) {
		this.limits = Map.copyOf(newLimits);
		List<C> closed = new ArrayList<>();
		this.idleByAttachment.forEach((attachment, idle) -> {
			while (idle.size() > limitOf(attachment)) {
				closed.add(idle.removeFirst().connection());
			}
		});
		this.idleByAttachment.values().removeIf(Deque::isEmpty);
		return closed;
	}

	/**
	 * Keeps a connection whose request has ended.
	 * @param attachment the attachment that it is connected to
	 * @param connection the connection
	 * @param nowMillis the current time
	 * @return {@code false} if the limit is reached and the connection must be closed
	 */
	public boolean keep(RunnerAttachment attachment, C connection, long nowMillis) {
		if (count(attachment) >= limitOf(attachment)) {
			return false;
		}
		this.idleByAttachment.computeIfAbsent(attachment, (key) -> new ArrayDeque<>())
			.addLast(new IdleConnection<>(connection, nowMillis + this.idleMillis));
		return true;
	}

	/**
	 * Takes the most recently used connection, so that the others can expire.
	 * @param attachment the attachment that it must be connected to
	 * @param nowMillis the current time
	 * @return the connection, empty if none is idle or all have expired
	 */
	public Optional<C> take(RunnerAttachment attachment, long nowMillis) {
		Deque<IdleConnection<C>> idle = this.idleByAttachment.get(attachment);
		if (idle == null || idle.peekLast().untilMillis() <= nowMillis) {
			return Optional.empty();
		}
		C connection = idle.removeLast().connection();
		if (idle.isEmpty()) {
			this.idleByAttachment.remove(attachment);
		}
		return Optional.of(connection);
	}

	/**
	 * Removes a connection that has been closed.
	 * @param connection the connection
	 * @return whether the connection was idle
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
	 * Removes the connections whose idle time has expired.
	 * @param nowMillis the current time
	 * @return the connections to close
	 */
	public List<C> expire(long nowMillis) {
		List<C> closed = new ArrayList<>();
		Iterator<Deque<IdleConnection<C>>> iterator = this.idleByAttachment.values().iterator();
		while (iterator.hasNext()) {
			Deque<IdleConnection<C>> idle = iterator.next();
			while (!idle.isEmpty() && idle.peekFirst().untilMillis() <= nowMillis) {
				closed.add(idle.removeFirst().connection());
			}
			if (idle.isEmpty()) {
				iterator.remove();
			}
		}
		return closed;
	}

	// access

	/**
	 * Counts the idle connections to an attachment.
	 * @param attachment the attachment of a runner
	 * @return the number of connections, including expired ones not yet removed
	 */
	public int count(RunnerAttachment attachment) {
		return Optional.ofNullable(this.idleByAttachment.get(attachment)).map(Deque::size).orElse(0);
	}

	// helpers

	private int limitOf(RunnerAttachment attachment) {
		return this.limits.getOrDefault(attachment, 0);
	}

	private record IdleConnection<C>(C connection, long untilMillis) {

	}

}
