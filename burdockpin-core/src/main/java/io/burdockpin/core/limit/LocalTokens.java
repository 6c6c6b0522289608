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
 * The tokens of the present life of an entry host. Mutable, owned by one actor. The times
 * given to it must never go back.
 * <p>
 * A token stays in use until its attempt is released, or until the attempt's deadline and
 * a margin have passed when its end is not known.
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
	 * Creates an empty wallet.
	 * @param holder the life of the entry host
	 */
	public LocalTokens(Holder holder) {
		this.holder = holder;
	}

	// access

	/**
	 * Returns the teams that have an idle token.
	 * @param nowMillis the current time
	 * @return the teams by name
	 */
	public Set<TeamName> teamsWithIdleTokens(long nowMillis) {
		Set<TeamName> teams = new TreeSet<>(this.heldTokens.keySet());
		teams.removeIf((team) -> inUseCount(team) >= heldCount(team, nowMillis));
		return teams;
	}

	/**
	 * Returns the tokens of a team that are in use.
	 * @param team the team
	 * @return the number of tokens, those with an unknown end included
	 */
	public int inUseCount(TeamName team) {
		return (int) this.uses.values().stream().filter((use) -> use.team().equals(team)).count();
	}

	/**
	 * Counts the tokens of each team that has some.
	 * @param nowMillis the current time
	 * @return the counts by team name
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
	 * @return {@code true} if there is demand
	 */
	public boolean hasDemand() {
		return !this.waitingCounts.isEmpty();
	}

	// changes

	/**
	 * Takes a token for an attempt. Leased tokens serve only attempts that end, with a
	 * margin, inside the lease.
	 * @param team the team
	 * @param attempt number of the attempt
	 * @param deadlineMillis when the attempt ends
	 * @param nowMillis the current time
	 * @return {@code true} if the attempt has a token now
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
	 * Gives the token of an attempt back that certainly does not run any more.
	 * @param attempt number of the attempt
	 */
	public void release(long attempt) {
		this.uses.remove(attempt);
	}

	/**
	 * Frees the tokens of attempts whose end is not known and whose deadline and margin
	 * have passed.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.uses.values().removeIf((use) -> use.untilMillis() <= nowMillis);
	}

	/**
	 * Takes note of how many requests wait for tokens.
	 * @param newWaitingCounts the counts by team; a missing team has none
	 */
	public void updateDemand(Map<TeamName, Integer> newWaitingCounts) {
		this.waitingCounts = Map.copyOf(newWaitingCounts);
	}

	/**
	 * Writes the next report. Leases that its answer renews count from now.
	 * @param nowMillis the current time
	 * @return the report, without a number for the message
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
	 * the wallet may have reported fewer tokens since. Of several answers to it only
	 * higher ones are applied, because the wallet's next report confirms what it applied
	 * last.
	 * @param grants the grants
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
	 * Starts a new life in place, because the leader has answered the newest report that
	 * this life was forgotten. The new life has no tokens. Attempts of the forgotten one
	 * stay in use and count against the tokens of the new one, because the leader may
	 * have freed theirs.
	 * @param forgotten the answer
	 * @return the new life, which has to be registered, or nothing if the answer does not
	 * belong to the newest report
	 */
	public Optional<Holder> onForgotten(HolderForgotten forgotten) {
		if (!answersNewestReport(forgotten.sequence(), forgotten.term())) {
			return Optional.empty();
		}
		// The next number, and not the time, lets the registration fail when another
		// process with this name has registered meanwhile.
		this.holder = new Holder(this.holder.host(), this.holder.incarnation() + 1);
		this.heldTokens.clear();
		this.leaseEndMillis = Long.MIN_VALUE;
		this.seenTerm = 0;
		this.seenSequence = 0;
		this.seenAnswer = 0;
		// Late answers to reports of the forgotten life do not answer the newest report.
		this.sequence++;
		return Optional.of(this.holder);
	}

	/** Gives all idle tokens back, before a planned stop. The next report says so. */
	public void returnIdleTokens() {
		this.heldTokens.replaceAll((team, purse) -> purse.reducedTo(inUseCount(team)));
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
		HeldTokens purse = new HeldTokens(grant.ownedCount(), grant.leasedCount()).reducedTo(keptCount);
		if (purse.count() > 0) {
			this.heldTokens.put(grant.team(), purse);
		}
	}

	private TokenUsage usage(TeamName team, long nowMillis) {
		int inUseCount = inUseCount(team);
		int reportedCount = Math.max(inUseCount, heldCount(team, nowMillis));
		return new TokenUsage(team, reportedCount, inUseCount, this.waitingCounts.getOrDefault(team, 0));
	}

	private int heldCount(TeamName team, long nowMillis) {
		HeldTokens purse = held(team);
		return (nowMillis < this.leaseEndMillis) ? purse.count() : purse.ownedCount();
	}

	private int longUseCount(TeamName team) {
		return (int) this.uses.values().stream().filter((use) -> use.team().equals(team) && use.needsOwned()).count();
	}

	private HeldTokens held(TeamName team) {
		return this.heldTokens.getOrDefault(team, HeldTokens.EMPTY);
	}

	/** Tokens of one team. */
	private record HeldTokens(int ownedCount, int leasedCount) {

		private static final HeldTokens EMPTY = new HeldTokens(0, 0);

		private int count() {
			return this.ownedCount + this.leasedCount;
		}

		// Leased tokens go first, because attempts may rely on the owned ones for longer.
		private HeldTokens reducedTo(int keptCount) {
			int kept = Math.min(count(), keptCount);
			int owned = Math.min(this.ownedCount, kept);
			return new HeldTokens(owned, kept - owned);
		}

	}

	/** A token in use. */
	private record TokenUse(TeamName team, long untilMillis, boolean needsOwned) {
	}

}
