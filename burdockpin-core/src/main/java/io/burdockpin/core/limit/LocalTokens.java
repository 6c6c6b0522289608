package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.burdockpin.core.client.ClientMessage.HolderForgotten;
import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;

/**
 * Tokens that the current incarnation of an entry host holds. Mutable, owned by one
 * actor. The times passed to it must never decrease.
 * <p>
 * A token is in use until its attempt is released. If the end of the attempt is not
 * known, the token is in use until the deadline of the attempt and a margin have passed.
 */
public final class LocalTokens {

	private Holder holder;

	private final Map<TeamName, HeldTokens> heldTokens = new TreeMap<>();

	private final Map<Long, TokenUse> uses = new HashMap<>();

	private Map<TeamName, Integer> waitingCounts = Map.of();

	private long sequence;

	private long reportSentMillis;

	private long leaseEndMillis = Long.MIN_VALUE;

	private long seenTerm;

	private long seenSequence;

	private long seenAnswer;

	/**
	 * Creates an instance without tokens.
	 * @param holder the incarnation of the entry host
	 */
	public LocalTokens(Holder holder) {
		this.holder = holder;
	}

	// access

	/**
	 * Returns the teams that have an idle token.
	 * @param nowMillis the current time
	 * @return the teams, sorted by name
	 */
	public Set<TeamName> teamsWithIdleTokens(long nowMillis) {
		Set<TeamName> teams = new TreeSet<>(this.heldTokens.keySet());
		teams.removeIf((team) -> inUseCount(team) >= heldCount(team, nowMillis));
		return teams;
	}

	/**
	 * Counts the tokens of a team that are in use.
	 * @param team the team
	 * @return the number of tokens, including those of attempts whose end is not known
	 */
	public int inUseCount(TeamName team) {
		return (int) this.uses.values().stream().filter((use) -> use.team().equals(team)).count();
	}

	/**
	 * Counts the tokens of each team that holds or uses some.
	 * @param nowMillis the current time
	 * @return the counts, sorted by team name
	 */
	public List<TokenCount> counts(long nowMillis) {
		Set<TeamName> teams = new TreeSet<>(this.heldTokens.keySet());
		this.uses.values().forEach((use) -> teams.add(use.team()));
		List<TokenCount> counts = new ArrayList<>();
		for (TeamName team : teams) {
			int ownedCount = held(team).ownedCount();
			counts.add(new TokenCount(team, ownedCount, heldCount(team, nowMillis) - ownedCount, inUseCount(team)));
		}
		return counts;
	}

	/**
	 * Tells whether requests wait for tokens.
	 * @return {@code true} if at least one team has waiting requests
	 */
	public boolean hasDemand() {
		return !this.waitingCounts.isEmpty();
	}

	// changes

	/**
	 * Acquires a token for an attempt. A leased token can be used only by an attempt that
	 * ends, including its margin, before the lease expires.
	 * @param team the team
	 * @param attempt number of the attempt
	 * @param deadlineMillis latest end of the attempt, in milliseconds since the epoch
	 * @param nowMillis the current time
	 * @return {@code true} if the attempt has acquired a token
	 */
	public boolean tryAcquire(TeamName team, long attempt, long deadlineMillis, long nowMillis) {
		long untilMillis = nowMillis + TokenSettings.withMargin(Math.max(0, deadlineMillis - nowMillis));
		boolean needsOwned = untilMillis > this.leaseEndMillis;
		boolean free = inUseCount(team) < heldCount(team, nowMillis)
				&& (!needsOwned || longUseCount(team) < held(team).ownedCount());
		if (free) {
			this.uses.put(attempt, new TokenUse(team, untilMillis, needsOwned));
		}
		return free;
	}

	/**
	 * Releases the token of an attempt that is known to have ended.
	 * @param attempt number of the attempt
	 */
	public void release(long attempt) {
		this.uses.remove(attempt);
	}

	/**
	 * Releases the tokens of attempts whose end is not known and whose deadline and
	 * margin have passed.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.uses.values().removeIf((use) -> use.untilMillis() <= nowMillis);
	}

	/**
	 * Replaces the number of requests that wait for tokens.
	 * @param newWaitingCounts the counts by team; 0 for a team that is missing
	 */
	public void updateDemand(Map<TeamName, Integer> newWaitingCounts) {
		this.waitingCounts = Map.copyOf(newWaitingCounts);
	}

	/**
	 * Creates the next report. The leases that its answer renews count from now.
	 * @param nowMillis the current time
	 * @return the full report, with correlation 0
	 */
	public TokenReport nextReport(long nowMillis) {
		this.sequence++;
		this.reportSentMillis = nowMillis;
		Set<TeamName> teams = new TreeSet<>(this.heldTokens.keySet());
		teams.addAll(this.waitingCounts.keySet());
		this.uses.values().forEach((use) -> teams.add(use.team()));
		List<TokenUsage> usages = new ArrayList<>();
		teams.forEach((team) -> usages.add(usage(team, nowMillis)));
		return new TokenReport(0, this.holder, this.sequence, this.seenTerm, this.seenSequence, this.seenAnswer, 0,
				usages, List.of());
	}

	/**
	 * Applies grants. Grants that do not answer the newest report are ignored, because
	 * fewer tokens may have been reported since. Of several answers to the newest report
	 * only higher ones are applied, because the next report confirms the one applied
	 * last.
	 * @param grants the full grants
	 * @return {@code true} if they were applied
	 */
	public boolean applyGrants(TokenGrants grants) {
		if (!answersNewestReport(grants.sequence(), grants.term()) || isApplied(grants)) {
			return false;
		}
		this.seenTerm = grants.term();
		this.seenSequence = grants.sequence();
		this.seenAnswer = grants.answer();
		this.leaseEndMillis = this.reportSentMillis + grants.leaseMillis();
		this.heldTokens.clear();
		grants.grants().forEach(this::put);
		return true;
	}

	/**
	 * Starts a new incarnation in place, because the leader has answered the newest
	 * report by declaring this incarnation forgotten. The new incarnation has no tokens.
	 * Running attempts of the forgotten one count against the tokens of the new one,
	 * because the leader may have released their tokens.
	 * @param forgotten the answer of the leader
	 * @return the new incarnation, which has to be registered, empty if the answer does
	 * not belong to the newest report
	 */
	public Optional<Holder> onForgotten(HolderForgotten forgotten) {
		if (!answersNewestReport(forgotten.sequence(), forgotten.term())) {
			return Optional.empty();
		}
		// Counting up, rather than using the time, makes the registration fail if another
		// process with this name has registered in the meantime.
		this.holder = new Holder(this.holder.host(), this.holder.incarnation() + 1);
		this.heldTokens.clear();
		this.leaseEndMillis = Long.MIN_VALUE;
		this.seenTerm = 0;
		this.seenSequence = 0;
		this.seenAnswer = 0;
		// Invalidates late answers to reports of the forgotten incarnation.
		this.sequence++;
		return Optional.of(this.holder);
	}

	/** Returns all idle tokens with the next report, before a planned stop. */
	public void returnIdleTokens() {
		this.heldTokens.replaceAll((team, held) -> held.reducedTo(inUseCount(team)));
	}

	// helpers

	private boolean answersNewestReport(long answeredSequence, long term) {
		return answeredSequence == this.sequence && term >= this.seenTerm;
	}

	private boolean isApplied(TokenGrants grants) {
		return grants.term() == this.seenTerm && grants.sequence() == this.seenSequence
				&& grants.answer() <= this.seenAnswer;
	}

	private void put(TokenGrant grant) {
		int keptCount = Math.max(grant.targetCount(), inUseCount(grant.team()));
		HeldTokens held = new HeldTokens(grant.ownedCount(), grant.leasedCount()).reducedTo(keptCount);
		if (held.count() > 0) {
			this.heldTokens.put(grant.team(), held);
		}
	}

	private TokenUsage usage(TeamName team, long nowMillis) {
		int inUseCount = inUseCount(team);
		int reportedCount = Math.max(inUseCount, heldCount(team, nowMillis));
		return new TokenUsage(team, reportedCount, inUseCount, this.waitingCounts.getOrDefault(team, 0));
	}

	private int heldCount(TeamName team, long nowMillis) {
		HeldTokens held = held(team);
		return (nowMillis < this.leaseEndMillis) ? held.count() : held.ownedCount();
	}

	private int longUseCount(TeamName team) {
		return (int) this.uses.values().stream().filter((use) -> use.team().equals(team) && use.needsOwned()).count();
	}

	private HeldTokens held(TeamName team) {
		return this.heldTokens.getOrDefault(team, HeldTokens.EMPTY);
	}

	/** Tokens of one team that the leader has granted. */
	private record HeldTokens(int ownedCount, int leasedCount) {

		private static final HeldTokens EMPTY = new HeldTokens(0, 0);

		private int count() {
			return this.ownedCount + this.leasedCount;
		}

		// Leased tokens are removed first: attempts may depend on owned ones for longer.
		private HeldTokens reducedTo(int keptCount) {
			int kept = Math.min(count(), keptCount);
			int owned = Math.min(this.ownedCount, kept);
			return new HeldTokens(owned, kept - owned);
		}

	}

	/** A token in use by an attempt. */
	private record TokenUse(TeamName team, long untilMillis, boolean needsOwned) {
	}

}
