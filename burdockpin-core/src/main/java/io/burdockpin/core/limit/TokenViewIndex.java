package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * Index of the records of one {@link TokenView}, with the number of jobs of each team.
 * Immutable after construction.
 */
final class TokenViewIndex {

	private final Map<TokenKey, TokenRecord> tokens = new HashMap<>();

	private final Map<TeamName, List<TokenRecord>> tokensByTeam = new HashMap<>();

	private final Map<TeamName, Integer> jobsHolding = new HashMap<>();

	private final Map<TeamName, Integer> jobsWaiting = new HashMap<>();

	private final PoolHostSizes poolHostSizes;

	private final List<Holder> liveHolders;

	private final Map<HostName, Long> newestIncarnations = new HashMap<>();

	TokenViewIndex(TokenView view) {
		this.liveHolders = view.holders()
			.stream()
			.filter((holder) -> !holder.blocked())
			.map(HolderRecord::holder)
			.toList();
		this.poolHostSizes = new PoolHostSizes(view.hosts());
		view.holders()
			.stream()
			.map(HolderRecord::holder)
			.forEach((holder) -> this.newestIncarnations.merge(holder.host(), holder.incarnation(), Math::max));
		view.tokens().forEach(this::addToken);
		view.jobs().forEach(this::countJob);
	}

	List<Holder> liveHolders() {
		return this.liveHolders;
	}

	boolean isLive(Holder holder) {
		return this.liveHolders.contains(holder);
	}

	boolean hasSuccessor(Holder holder) {
		return this.newestIncarnations.getOrDefault(holder.host(), Long.MIN_VALUE) > holder.incarnation();
	}

	TokenRecord token(TokenKey key) {
		return Optional.ofNullable(this.tokens.get(key))
			.orElseGet(() -> new TokenRecord(key.team(), key.holder(), 0, 0, 0));
	}

	List<TokenRecord> tokensOf(TeamName team) {
		return this.tokensByTeam.getOrDefault(team, List.of());
	}

	int jobsHolding(TeamName team) {
		return this.jobsHolding.getOrDefault(team, 0);
	}

	int jobsWaiting(TeamName team) {
		return this.jobsWaiting.getOrDefault(team, 0);
	}

	private void addToken(TokenRecord token) {
		this.tokens.put(TokenKey.of(token), token);
		this.tokensByTeam.computeIfAbsent(token.team(), (team) -> new ArrayList<>()).add(token);
	}

	private void countJob(JobRecord job) {
		if (job.state().holdsCapacity()) {
			this.jobsHolding.merge(job.spec().team(), 1, Integer::sum);
		}
		else if (job.state() == JobState.WAITING && this.poolHostSizes.canFit(job.spec())) {
			this.jobsWaiting.merge(job.spec().team(), 1, Integer::sum);
		}
	}

}
