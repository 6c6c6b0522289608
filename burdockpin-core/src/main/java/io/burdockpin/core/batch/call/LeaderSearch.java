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
 * Decides to which member of the control group a process sends its calls, and when it
 * tries another member. A member that does not respond in time may be overloaded, and
 * each new connection adds to its load. So its connection is kept open for a late
 * response while other members are tried, and its response timeout doubles with each
 * consecutive timeout. Mutable; owned by one actor.
 */
public final class LeaderSearch {

	/**
	 * With a response timeout of 600 ms, the longest is 4.8 s; callers wait no longer.
	 */
	private static final int MAXIMUM_DOUBLINGS = 3;

	private final long responseTimeoutMillis;

	private final long leaderWaitMillis;

	private final Set<String> members;

	/** Members that timed out and have not responded in time since. */
	private final Map<String, ResponseTimeouts> responseTimeouts = new HashMap<>();

	private String target;

	private boolean leaderKnown;

	private long lastContactMillis;

	private long leaderlessSinceMillis;

	/** Number of targets abandoned since the leader was last known. */
	private int failureCount;

	/**
	 * Starts the search at the first member.
	 * @param members hosts of members, at least one
	 * @param responseTimeoutMillis initial time without contact after which another
	 * member is tried
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
	 * Returns the member to which calls are sent.
	 * @return the host of the member
	 */
	public String target() {
		return this.target;
	}

	/**
	 * Tells whether the target is the known leader and has not timed out.
	 * @param nowMillis the time of the monotonic clock
	 * @return whether calls are likely to be answered
	 */
	public boolean isReady(long nowMillis) {
		return this.leaderKnown && !isTimedOut(nowMillis);
	}

	/**
	 * Returns how long no leader has been known.
	 * @param nowMillis the time of the monotonic clock
	 * @return milliseconds; 0 while a leader is known
	 */
	public long leaderlessMillis(long nowMillis) {
		return this.leaderKnown ? 0 : nowMillis - this.leaderlessSinceMillis;
	}

	/**
	 * Tells whether no leader has been known for so long that calls are refused
	 * immediately instead of waiting for one.
	 * @param nowMillis the time of the monotonic clock
	 * @return whether the time that calls wait for a leader has passed
	 */
	public boolean isLeaderUnavailable(long nowMillis) {
		return !this.leaderKnown && nowMillis - this.leaderlessSinceMillis > this.leaderWaitMillis;
	}

	/**
	 * Tells whether the last contact with the target is so old that a check is needed.
	 * @param ageMillis the age from which a check is needed
	 * @param nowMillis the time of the monotonic clock
	 * @return whether the last contact is at least that old
	 */
	public boolean isContactOlderThan(long ageMillis, long nowMillis) {
		return nowMillis - this.lastContactMillis >= ageMillis;
	}

	/**
	 * Returns how many targets were abandoned since the leader was last known.
	 * @return 0 while a leader is known
	 */
	public int failureCount() {
		return this.failureCount;
	}

	// events

	/**
	 * Adds members that may be tried.
	 * @param hosts the hosts of the members; known ones are ignored
	 */
	public void addMembers(Collection<String> hosts) {
		this.members.addAll(hosts);
	}

	/**
	 * Handles a response that only the leader gives.
	 * @param host the member that responded
	 * @param nowMillis the time of the monotonic clock
	 * @return whether no leader was known before
	 */
	public boolean onLeaderResponse(String host, long nowMillis) {
		boolean isTarget = this.target.equals(host);
		if (!isTarget && this.leaderKnown) {
			return false;
		}
		boolean isInTime = isTarget && nowMillis - this.lastContactMillis <= this.responseTimeoutMillis;
		this.responseTimeouts.computeIfPresent(host, (name, timeouts) -> isInTime ? null : timeouts.withLateAnswer());
		this.target = host;
		this.lastContactMillis = nowMillis;
		boolean isNew = !this.leaderKnown;
		this.leaderKnown = true;
		this.failureCount = 0;
		return isNew;
	}

	/**
	 * Handles the response of a member that is not the leader.
	 * @param host the member that responded
	 * @param leader the leader known to that member; empty if it knows none
	 * @param nowMillis the time of the monotonic clock
	 * @return empty if the target stays the same
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
	 * Handles a new connection to a member. No call reaches the target before, so its
	 * response timeout starts then.
	 * @param host the member at the other end of the connection
	 * @param nowMillis the time of the monotonic clock
	 */
	public void onConnected(String host, long nowMillis) {
		if (this.target.equals(host)) {
			this.lastContactMillis = nowMillis;
		}
	}

	/**
	 * Handles the end of the connection to a member.
	 * @param host the member at the other end of the connection
	 * @param nowMillis the time of the monotonic clock
	 * @return empty if the target stays the same
	 */
	public Optional<TargetChange> onDisconnected(String host, long nowMillis) {
		return this.target.equals(host)
				? Optional.of(abandonTarget("closed the connection", nowMillis).withConnectionToClose(host))
				: Optional.empty();
	}

	/**
	 * Checks the response timeout of the target.
	 * @param nowMillis the time of the monotonic clock
	 * @return empty if the target stays the same
	 */
	public Optional<TargetChange> onTick(long nowMillis) {
		if (!isTimedOut(nowMillis)) {
			return Optional.empty();
		}
		long timeoutMillis = currentTimeoutMillis(this.target);
		this.responseTimeouts.merge(this.target, new ResponseTimeouts(1, nowMillis + timeoutMillis / 2, false),
				(known, next) -> new ResponseTimeouts(known.count() + 1, next.cooldownEndMillis(), false));
		return Optional.of(abandonTarget("did not respond in time", nowMillis));
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
			.filter((timeouts) -> !timeouts.answeredLate() && nowMillis < timeouts.cooldownEndMillis())
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
		boolean isUnresponsive = Optional.ofNullable(this.responseTimeouts.get(host))
			.filter((timeouts) -> !timeouts.answeredLate())
			.isPresent();
		// The old connection may have failed without being closed, in which case only a
		// new one can work.
		return new TargetChange(host, failure, isUnresponsive ? Set.of(host) : Set.of());
	}

	/**
	 * Response timeouts of a member. Immutable.
	 *
	 * @param count number of consecutive timeouts
	 * @param cooldownEndMillis time before which the member does not become the target
	 * again when another member names it as the leader
	 * @param answeredLate whether the member has responded late since its last timeout
	 */
	private record ResponseTimeouts(int count, long cooldownEndMillis, boolean answeredLate) {

		private ResponseTimeouts withLateAnswer() {
			return new ResponseTimeouts(this.count, this.cooldownEndMillis, true);
		}

	}

	/**
	 * A change of the target. All pending calls have to be sent to the new one.
	 *
	 * @param host the new target
	 * @param failure why the previous target was abandoned; empty if it named the new
	 * target itself
	 * @param connectionsToClose members whose connections must be closed first, so that
	 * new ones are opened
	 */
	public record TargetChange(String host, Optional<Failure> failure, Set<String> connectionsToClose) {

		private TargetChange withConnectionToClose(String member) {
			Set<String> members = new LinkedHashSet<>(this.connectionsToClose);
			members.add(member);
			return new TargetChange(this.host, this.failure, members);
		}

	}

	/**
	 * An abandoned target.
	 *
	 * @param host the abandoned member
	 * @param reason predicate for log messages, such as "closed the connection"
	 * @param wasLeader whether it was the known leader
	 */
	public record Failure(String host, String reason, boolean wasLeader) {

	}

}
