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

	private final long silenceMillis;

	private final long patienceMillis;

	private final Set<String> members;

	/** Members that were silent and have not been heard in time since. */
	private final Map<String, Silence> silences = new HashMap<>();

	private String target;

	private boolean found;

	private long heardMillis;

	private long leaderlessSinceMillis;

	/** How many members were given up since the leader was known. */
	private int failures;

	/**
	 * Begins the search with the first member.
	 * @param members hosts of members, at least one
	 * @param silenceMillis how long a member may be silent before another one is asked
	 * @param patienceMillis how long calls wait for a leader
	 * @param nowMillis the time of a monotonic clock
	 * @throws InvalidValueException if there is no member
	 */
	public LeaderSearch(Collection<String> members, long silenceMillis, long patienceMillis, long nowMillis) {
		if (members.isEmpty()) {
			throw new InvalidValueException("no member of the control group is known");
		}
		this.members = new LinkedHashSet<>(members);
		this.silenceMillis = silenceMillis;
		this.patienceMillis = patienceMillis;
		this.target = this.members.iterator().next();
		this.heardMillis = nowMillis;
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
		return this.found && !isSilent(nowMillis);
	}

	/**
	 * Returns how long no leader has been known.
	 * @param nowMillis the time
	 * @return the time in milliseconds, 0 if one is known
	 */
	public long leaderlessMillis(long nowMillis) {
		return this.found ? 0 : nowMillis - this.leaderlessSinceMillis;
	}

	/**
	 * Tells whether calls are refused at once, because no leader was in reach for long.
	 * @param nowMillis the time
	 * @return whether waiting is unlikely to help
	 */
	public boolean isOutOfReach(long nowMillis) {
		return !this.found && nowMillis - this.leaderlessSinceMillis > this.patienceMillis;
	}

	/**
	 * Tells whether the leader has to be asked for a sign of life.
	 * @param quietMillis how long it may be quiet before
	 * @param nowMillis the time
	 * @return whether the target has not been heard for that time
	 */
	public boolean isQuiet(long quietMillis, long nowMillis) {
		return nowMillis - this.heardMillis >= quietMillis;
	}

	/**
	 * Returns how many members were given up since the leader was known.
	 * @return the number
	 */
	public int failures() {
		return this.failures;
	}

	// events

	/**
	 * Takes note of members.
	 * @param hosts their hosts
	 */
	public void know(Collection<String> hosts) {
		this.members.addAll(hosts);
	}

	/**
	 * Takes note of an answer that only the leader gives.
	 * @param host the member that has answered
	 * @param nowMillis the time
	 * @return whether the leader was not known before
	 */
	public boolean onAnswer(String host, long nowMillis) {
		boolean isTarget = this.target.equals(host);
		if (!isTarget && this.found) {
			return false;
		}
		boolean isInTime = isTarget && nowMillis - this.heardMillis <= this.silenceMillis;
		this.silences.computeIfPresent(host, (name, silence) -> isInTime ? null : silence.withAnswer());
		this.target = host;
		this.heardMillis = nowMillis;
		boolean isNew = !this.found;
		this.found = true;
		this.failures = 0;
		return isNew;
	}

	/**
	 * Takes note that a member does not lead.
	 * @param host the member
	 * @param leader the member that leads, as far as it knows
	 * @param nowMillis the time
	 * @return the change of the target, if there is one
	 */
	public Optional<Turn> onNotLeader(String host, Optional<String> leader, long nowMillis) {
		if (!this.target.equals(host)) {
			return Optional.empty();
		}
		if (leader.filter((named) -> isResting(named, nowMillis)).isPresent()) {
			this.heardMillis = nowMillis;
			return Optional.empty();
		}
		if (leader.isPresent() && !leader.get().equals(host)) {
			return Optional.of(turnTo(leader.get(), Optional.empty(), nowMillis));
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
	public Optional<Turn> onDisconnected(String host, long nowMillis) {
		return this.target.equals(host) ? Optional.of(giveUp("has closed the connection", nowMillis).withClosed(host))
				: Optional.empty();
	}

	/**
	 * Takes note that time has passed.
	 * @param nowMillis the time
	 * @return the change of the target, if there is one
	 */
	public Optional<Turn> onTick(long nowMillis) {
		if (!isSilent(nowMillis)) {
			return Optional.empty();
		}
		long limitMillis = limitMillis(this.target);
		this.silences.merge(this.target, new Silence(1, nowMillis + limitMillis / 2, false),
				(known, next) -> new Silence(known.count() + 1, next.restsUntilMillis(), false));
		return Optional.of(giveUp("is silent", nowMillis));
	}

	// helpers

	private boolean isSilent(long nowMillis) {
		return nowMillis - this.heardMillis > limitMillis(this.target);
	}

	private long limitMillis(String host) {
		int count = Optional.ofNullable(this.silences.get(host)).map(Silence::count).orElse(0);
		return this.silenceMillis << Math.min(count, MAXIMUM_DOUBLINGS);
	}

	private boolean isResting(String host, long nowMillis) {
		return Optional.ofNullable(this.silences.get(host))
			.filter((silence) -> !silence.answered() && nowMillis < silence.restsUntilMillis())
			.isPresent();
	}

	private void loseLeader(long nowMillis) {
		if (this.found) {
			this.leaderlessSinceMillis = nowMillis;
		}
		this.found = false;
	}

	private Turn giveUp(String reason, long nowMillis) {
		boolean wasKnown = this.found;
		loseLeader(nowMillis);
		this.failures++;
		List<String> candidates = new ArrayList<>(this.members);
		String next = candidates.get((candidates.indexOf(this.target) + 1) % candidates.size());
		return turnTo(next, Optional.of(new Failure(this.target, reason, wasKnown)), nowMillis);
	}

	private Turn turnTo(String host, Optional<Failure> failure, long nowMillis) {
		this.members.add(host);
		this.target = host;
		this.heardMillis = nowMillis;
		boolean isSilent = Optional.ofNullable(this.silences.get(host))
			.filter((silence) -> !silence.answered())
			.isPresent();
		// A connection that has gone silent for good does not recover, while a new one
		// may work.
		return new Turn(host, failure, isSilent ? Set.of(host) : Set.of());
	}

	/**
	 * A member that did not answer in time. Immutable.
	 *
	 * @param count how often in a row
	 * @param restsUntilMillis until when it is not asked again if another member names it
	 * @param answered whether it has answered since, though late
	 */
	private record Silence(int count, long restsUntilMillis, boolean answered) {

		private Silence withAnswer() {
			return new Silence(this.count, this.restsUntilMillis, true);
		}

	}

	/**
	 * A change of the target. All open calls are to be sent to it.
	 *
	 * @param host the new target
	 * @param failure why the former target was given up, if it was
	 * @param closes members whose connections are to be closed first, so that the next
	 * call opens new ones
	 */
	public record Turn(String host, Optional<Failure> failure, Set<String> closes) {

		private Turn withClosed(String member) {
			Set<String> closed = new LinkedHashSet<>(this.closes);
			closed.add(member);
			return new Turn(this.host, this.failure, closed);
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
