package io.burdockpin.core.batch.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.exc.InvalidValueException;

/**
 * Decides which member of the control group a process asks and when it gives up waiting
 * for that member. A member that does not answer in time may be busy, and each new
 * connection makes it busier. So the connection is kept for a late answer while others
 * are asked, and the waits double with each one in vain. Mutable; owned by one actor.
 */
public final class LeaderSearch {

	/** Together with a silence of 600 ms: waits end at 4.8 s, the patience of callers. */
	private static final int MAXIMUM_DOUBLINGS = 3;

	private final long responseTimeoutMillis;

	private final long leaderWaitMillis;

	private final Set<String> members;

	/** Members that were silent and have not been heard in time since. */
	private final Map<String, ResponseTimeouts> responseTimeouts = new HashMap<>();

	private String target;

	private boolean leaderKnown;

	private long lastContactMillis;

	private long leaderlessSinceMillis;

	/** How many members were given up since the leader was known. */
	private int failureCount;

	/**
	 * Begins the search with the first member.
	 * @param members hosts of members, at least one
	 * @param responseTimeoutMillis how long a member may be silent before another one is
	 * asked
	 * @param leaderWaitMillis how long calls wait for a leader
	 * @param nowMillis the time of a monotonic clock
	 * @throws InvalidValueException if there is no member
	 */
	public LeaderSearch(Collection<String> members, long responseTimeoutMillis, long leaderWaitMillis, long nowMillis) {
		if (members.isEmpty()) {
			throw new InvalidValueException("no member of the control group is known");
		}
		this.members = new LinkedHashSet<>(members);
		this.responseTimeoutMillis = responseTimeoutMillis;
		this.leaderWaitMillis = leaderWaitMillis;
		this.target = this.members.iterator().next();
		this.lastContactMillis = nowMillis;
		this.leaderlessSinceMillis = nowMillis;
	}

	// access

	/**
	 * Returns the member to ask.
	 * @return its host
	 */
	public String target() {
		return this.target;
	}

	/**
	 * Tells whether the target has said that it leads and is heard.
	 * @param nowMillis the time
	 * @return whether calls are likely to be answered
	 */
	public boolean isReady(long nowMillis) {
		return this.leaderKnown && !isTimedOut(nowMillis);
	}

	/**
	 * Returns how long no leader has been known.
	 * @param nowMillis the time
	 * @return the time in milliseconds, 0 if one is known
	 */
	public long leaderlessMillis(long nowMillis) {
		return this.leaderKnown ? 0 : nowMillis - this.leaderlessSinceMillis;
	}

	/**
	 * Tells whether calls are refused at once, because no leader was in reach for long.
	 * @param nowMillis the time
	 * @return whether waiting is unlikely to help
	 */
	public boolean isLeaderUnavailable(long nowMillis) {
		return !this.leaderKnown && nowMillis - this.leaderlessSinceMillis > this.leaderWaitMillis;
	}

	/**
	 * Tells whether the leader has to be asked for a sign of life.
	 * @param ageMillis how long it may be quiet before
	 * @param nowMillis the time
	 * @return whether the target has not been heard for that time
	 */
	public boolean isContactOlderThan(long ageMillis, long nowMillis) {
		return nowMillis - this.lastContactMillis >= ageMillis;
	}

	/**
	 * Returns how many members were given up since the leader was known.
	 * @return the number
	 */
	public int failureCount() {
		return this.failureCount;
	}

	// events

	/**
	 * Takes note of members.
	 * @param hosts their hosts
	 */
	public void addMembers(Collection<String> hosts) {
		this.members.addAll(hosts);
	}

	/**
	 * Takes note of an answer that only the leader gives.
	 * @param host the member that has answered
	 * @param nowMillis the time
	 * @return whether the leader was not known before
	 */
	public boolean onLeaderResponse(String host, long nowMillis) {
		boolean isTarget = this.target.equals(host);
		if (!isTarget && this.leaderKnown) {
			return false;
		}
		boolean isInTime = isTarget && nowMillis - this.lastContactMillis <= this.responseTimeoutMillis;
		this.responseTimeouts.computeIfPresent(host, (name, silence) -> isInTime ? null : silence.withLateAnswer());
		this.target = host;
		this.lastContactMillis = nowMillis;
		boolean isNew = !this.leaderKnown;
		this.leaderKnown = true;
		this.failureCount = 0;
		return isNew;
	}

	/**
	 * Takes note that a member does not lead.
	 * @param host the member
	 * @param leader the member that leads, as far as it knows
	 * @param nowMillis the time
	 * @return the change of the target, if there is one
	 */
	public Optional<TargetChange> onNotLeader(String host, Optional<String> leader, long nowMillis) {
		if (!this.target.equals(host)) {
			return Optional.empty();
		}
		if (leader.filter((named) -> isCoolingDown(named, nowMillis)).isPresent()) {
			this.lastContactMillis = nowMillis;
			return Optional.empty();
		}
		if (leader.isPresent() && !leader.get().equals(host)) {
			return Optional.of(changeTarget(leader.get(), Optional.empty(), nowMillis));
		}
		loseLeader(nowMillis);
		return Optional.empty();
	}

	/**
	 * Takes note that the connection to a member has ended.
	 * @param host the member
	 * @param nowMillis the time
	 * @return the change of the target, if there is one
	 */
	public Optional<TargetChange> onDisconnected(String host, long nowMillis) {
		return this.target.equals(host)
				? Optional.of(abandonTarget("has closed the connection", nowMillis).withConnectionToClose(host))
				: Optional.empty();
	}

	/**
	 * Takes note that time has passed.
	 * @param nowMillis the time
	 * @return the change of the target, if there is one
	 */
	public Optional<TargetChange> onTick(long nowMillis) {
		if (!isTimedOut(nowMillis)) {
			return Optional.empty();
		}
		long limitMillis = currentTimeoutMillis(this.target);
		this.responseTimeouts.merge(this.target, new ResponseTimeouts(1, nowMillis + limitMillis / 2, false),
				(known, next) -> new ResponseTimeouts(known.count() + 1, next.cooldownEndMillis(), false));
		return Optional.of(abandonTarget("is silent", nowMillis));
	}

	// helpers

	private boolean isTimedOut(long nowMillis) {
		return nowMillis - this.lastContactMillis > currentTimeoutMillis(this.target);
	}

	private long currentTimeoutMillis(String host) {
		int count = Optional.ofNullable(this.responseTimeouts.get(host)).map(ResponseTimeouts::count).orElse(0);
		return this.responseTimeoutMillis << Math.min(count, MAXIMUM_DOUBLINGS);
	}

	private boolean isCoolingDown(String host, long nowMillis) {
		return Optional.ofNullable(this.responseTimeouts.get(host))
			.filter((silence) -> !silence.answeredLate() && nowMillis < silence.cooldownEndMillis())
			.isPresent();
	}

	private void loseLeader(long nowMillis) {
		if (this.leaderKnown) {
			this.leaderlessSinceMillis = nowMillis;
		}
		this.leaderKnown = false;
	}

	private TargetChange abandonTarget(String reason, long nowMillis) {
		boolean wasKnown = this.leaderKnown;
		loseLeader(nowMillis);
		this.failureCount++;
		List<String> candidates = new ArrayList<>(this.members);
		String next = candidates.get((candidates.indexOf(this.target) + 1) % candidates.size());
		return changeTarget(next, Optional.of(new Failure(this.target, reason, wasKnown)), nowMillis);
	}

	private TargetChange changeTarget(String host, Optional<Failure> failure, long nowMillis) {
		this.members.add(host);
		this.target = host;
		this.lastContactMillis = nowMillis;
		boolean isSilent = Optional.ofNullable(this.responseTimeouts.get(host))
			.filter((silence) -> !silence.answeredLate())
			.isPresent();
		// A connection that has gone silent for good does not recover, while a new one
		// may work.
		return new TargetChange(host, failure, isSilent ? Set.of(host) : Set.of());
	}

	/**
	 * A member that did not answer in time. Immutable.
	 *
	 * @param count how often in a row
	 * @param cooldownEndMillis until when it is not asked again if another member names
	 * it
	 * @param answeredLate whether it has answered since, though late
	 */
	private record ResponseTimeouts(int count, long cooldownEndMillis, boolean answeredLate) {

		private ResponseTimeouts withLateAnswer() {
			return new ResponseTimeouts(this.count, this.cooldownEndMillis, true);
		}

	}

	/**
	 * A change of the target. All open calls are to be sent to it.
	 *
	 * @param host the new target
	 * @param failure why the former target was given up, if it was
	 * @param connectionsToClose members whose connections are to be closed first, so that
	 * the next call opens new ones
	 */
	public record TargetChange(String host, Optional<Failure> failure, Set<String> connectionsToClose) {

		private TargetChange withConnectionToClose(String member) {
			Set<String> closed = new LinkedHashSet<>(this.connectionsToClose);
			closed.add(member);
			return new TargetChange(this.host, this.failure, closed);
		}

	}

	/**
	 * A member that was given up.
	 *
	 * @param host the member
	 * @param reason why
	 * @param wasLeader whether it was known to lead
	 */
	public record Failure(String host, String reason, boolean wasLeader) {

	}

}
