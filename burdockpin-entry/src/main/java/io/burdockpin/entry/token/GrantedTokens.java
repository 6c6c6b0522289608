package io.burdockpin.entry.token;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.model.TeamName;

/** Tokens of this entry host by team. Mutable; owned by the token actor. */
final class GrantedTokens {

	private static final int MARGIN_DIVISOR = 5;

	private final Map<TeamName, Integer> ownedCounts = new HashMap<>();

	private final Map<TeamName, Integer> leasedCounts = new HashMap<>();

	private final Map<Long, Use> uses = new HashMap<>();

	private Map<TeamName, Integer> waitingCounts = Map.of();

	private long leaseEndMillis;

	boolean take(TeamName team, long attempt, long deadlineMillis, long nowMillis) {
		if (inUse(team) >= heldCount(team, deadlineMillis)) {
			return false;
		}
		long marginMillis = Math.max(0, deadlineMillis - nowMillis) / MARGIN_DIVISOR;
		this.uses.put(attempt, new Use(team, deadlineMillis + marginMillis));
		return true;
	}

	void release(long attempt) {
		this.uses.remove(attempt);
	}

	void expire(long nowMillis) {
		this.uses.values().removeIf((use) -> use.untilMillis() <= nowMillis);
	}

	void demand(Map<TeamName, Integer> newWaitingCounts) {
		this.waitingCounts = newWaitingCounts;
	}

	void granted(List<TokenGrant> grants, long newLeaseEndMillis) {
		this.leaseEndMillis = newLeaseEndMillis;
		for (TokenGrant grant : grants) {
			int kept = Math.max(grant.targetCount(), inUse(grant.team()));
			this.ownedCounts.put(grant.team(), Math.min(grant.ownedCount(), kept));
			this.leasedCounts.put(grant.team(), Math.max(0, Math.min(grant.leasedCount(), kept - grant.ownedCount())));
		}
	}

	void giveBack() {
		this.ownedCounts.replaceAll((team, count) -> Math.min(count, inUse(team)));
		this.leasedCounts.replaceAll((team, count) -> 0);
	}

	Set<TeamName> teamsWithIdleTokens(long nowMillis) {
		Set<TeamName> teams = new TreeSet<>(this.ownedCounts.keySet());
		teams.removeIf((team) -> inUse(team) >= heldCount(team, nowMillis));
		return teams;
	}

	List<TokenUsage> usages(long nowMillis) {
		Set<TeamName> teams = new TreeSet<>(this.ownedCounts.keySet());
		teams.addAll(this.waitingCounts.keySet());
		List<TokenUsage> usages = new ArrayList<>();
		for (TeamName team : teams) {
			usages.add(new TokenUsage(team, heldCount(team, nowMillis), inUse(team),
					this.waitingCounts.getOrDefault(team, 0)));
		}
		return usages;
	}

	boolean hasDemand() {
		return !this.waitingCounts.isEmpty();
	}

	private int heldCount(TeamName team, long untilMillis) {
		int leased = (untilMillis < this.leaseEndMillis) ? this.leasedCounts.getOrDefault(team, 0) : 0;
		return this.ownedCounts.getOrDefault(team, 0) + leased;
	}

	private int inUse(TeamName team) {
		return (int) this.uses.values().stream().filter((use) -> use.team().equals(team)).count();
	}

	private record Use(TeamName team, long untilMillis) {

	}

}
