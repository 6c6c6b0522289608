package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.burdockpin.core.client.ClientMessage.HolderForgotten;
import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenCommand;
import io.burdockpin.core.state.TokenRecord;

/**
 * Divides the upper limits of the teams into tokens, for one leader in one term. Mutable,
 * owned by one actor; a new term needs a new allocator.
 * <p>
 * A count is raised in the replicated state before it is announced to the holder, and
 * lowered there only after the holder has confirmed the lower count or its lease has
 * expired. The replicated count is therefore never below the number of tokens that the
 * holder uses.
 */
public final class TokenAllocator {

	private final TokenSettings settings;

	private final long term;

	private final HolderReports reports;

	private final LeaseExpirations leaseExpirations;

	private final PendingReductions reductions = new PendingReductions();

	private final Map<TokenKey, Integer> targetCounts = new HashMap<>();

	/**
	 * Creates the allocator of a new leader.
	 * @param settings time limits of the protocol
	 * @param term the term of the leader
	 * @param nowMillis the current time, at which the leader takes over
	 */
	public TokenAllocator(TokenSettings settings, long term, long nowMillis) {
		this.settings = settings;
		this.term = term;
		this.reports = new HolderReports(term);
		this.leaseExpirations = new LeaseExpirations(settings, nowMillis);
	}

	// access

	/**
	 * Returns the term in which this allocator is valid.
	 * @return the term of the leader
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Answers a report. Must be called after a {@link #plan} that took the report into
	 * account, with a view that is at least as new, and only while this member leads in
	 * the term.
	 * @param report the report to answer
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return the tokens of the holder for all teams
	 */
	public TokenGrants answer(TokenReport report, TokenView view, long nowMillis) {
		this.leaseExpirations.renew(report.holder(), nowMillis);
		return grants(report, report.correlation(), view, new TokenViewIndex(view));
	}

	/**
	 * Creates further answers for holders that lack tokens and were granted some since
	 * the last answer. The conditions of {@link #answer} apply. A further answer does not
	 * extend the lease, because the holder counts the lease from its report.
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return further answers by the reports that they answer
	 */
	public Map<TokenReport, TokenGrants> pushes(TokenView view, long nowMillis) {
		List<TokenReport> underserved = this.reports.withUnmetDemand(nowMillis, this.settings.reportTimeoutMillis());
		Map<TokenReport, TokenGrants> pushes = new HashMap<>();
		if (!underserved.isEmpty()) {
			TokenViewIndex index = new TokenViewIndex(view);
			underserved.stream()
				.filter((report) -> hasMore(report, index))
				.forEach((report) -> pushes.put(report, grants(report, 0, view, index)));
		}
		return pushes;
	}

	/**
	 * Refuses grants to a holder that still reports although an operator has declared it
	 * destroyed. An incarnation that has been replaced by a newer one is not refused, so
	 * that two processes with the same name do not keep replacing each other.
	 * @param report the report to answer
	 * @param view the replicated records
	 * @return the answer to send instead of grants, empty if the holder gets grants
	 */
	public Optional<HolderForgotten> refusal(TokenReport report, TokenView view) {
		TokenViewIndex index = new TokenViewIndex(view);
		if (index.isLive(report.holder()) || index.hasSuccessor(report.holder())) {
			return Optional.empty();
		}
		return Optional.of(new HolderForgotten(report.correlation(), this.term, report.sequence()));
	}

	// changes

	/**
	 * Handles a report of a holder.
	 * @param report the full report
	 * @param nowMillis the current time
	 */
	public void onReport(TokenReport report, long nowMillis) {
		this.reports.add(report, nowMillis);
	}

	/**
	 * Decides which token counts to change.
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return commands to propose, in this order
	 */
	public List<Command> plan(TokenView view, long nowMillis) {
		TokenViewIndex index = new TokenViewIndex(view);
		List<Command> commands = new ArrayList<>(releaseEndedIncarnations(view, index, nowMillis));
		for (TeamRecord team : view.teams()) {
			commands.addAll(planTeam(team, index, nowMillis));
		}
		return commands;
	}

	// helpers

	private List<Command> releaseEndedIncarnations(TokenView view, TokenViewIndex index, long nowMillis) {
		return view.holders()
			.stream()
			.filter(HolderRecord::blocked)
			.map(HolderRecord::holder)
			.filter((holder) -> this.leaseExpirations.isReleasable(holder, index.hasSuccessor(holder),
					this.reports.lastReportMillis(holder), nowMillis))
			.<Command>map(TokenCommand.ReleaseHolder::new)
			.toList();
	}

	private List<Command> planTeam(TeamRecord team, TokenViewIndex index, long nowMillis) {
		List<Command> commands = new ArrayList<>();
		Map<Holder, TokenRecord> current = new HashMap<>();
		for (TokenRecord record : index.tokensOf(team.name())) {
			TokenRecord reduced = reduce(record, nowMillis);
			current.put(record.holder(), reduced);
			if (reduced.count() < record.count()) {
				this.reductions.add(reduced);
				commands.add(command(reduced));
			}
		}
		commands.addAll(raise(team, index, current, nowMillis));
		return commands;
	}

	private TokenRecord reduce(TokenRecord record, long nowMillis) {
		int count = this.reports.confirmedCount(record)
			.map((held) -> Math.min(held, record.count()))
			.orElse(record.count());
		count = Math.min(count, this.reductions.of(record).map(TokenRecord::count).orElse(count));
		if (this.leaseExpirations.isExpired(record.holder(), nowMillis)) {
			count = Math.min(count, record.ownedCount());
		}
		// Leased tokens are removed first: requests may depend on owned ones for longer.
		int ownedCount = Math.min(record.ownedCount(), count);
		return new TokenRecord(record.team(), record.holder(), ownedCount, count - ownedCount, record.version());
	}

	private List<Command> raise(TeamRecord team, TokenViewIndex index, Map<Holder, TokenRecord> current,
			long nowMillis) {
		List<Holder> reachable = index.liveHolders()
			.stream()
			.filter((holder) -> this.reports.isReporting(holder, nowMillis, this.settings.reportTimeoutMillis()))
			.toList();
		List<Integer> demands = reachable.stream()
			.map((holder) -> this.reports.demand(new TokenKey(team.name(), holder)))
			.toList();
		int currentCount = current.values().stream().mapToInt(TokenRecord::count).sum();
		int reachableCount = reachable.stream().mapToInt((holder) -> countOf(current, holder)).sum();
		TeamLimitDivision division = new TeamLimitDivision(team.spec().upperLimit(), baseCount(team, index),
				currentCount - reachableCount, index.jobsHolding(team.name()), index.jobsWaiting(team.name()));
		int[] shares = division.shares(demands);
		List<MaxMinShares.Claim> deficits = deficits(team, index, current, reachable, shares);
		int freeCount = division.freeCount(currentCount, demands);
		boolean enough = deficits.stream().mapToInt(MaxMinShares.Claim::demand).sum() <= freeCount;
		int[] raises = MaxMinShares.divide(Math.max(0, freeCount), deficits);
		List<Command> commands = new ArrayList<>();
		for (int position = 0; position < shares.length; position++) {
			TokenKey key = new TokenKey(team.name(), reachable.get(position));
			// Tokens move only if a holder lacks some: idle teams add no log entries.
			int keptCount = enough ? countOf(current, key.holder()) : 0;
			this.targetCounts.put(key, Math.max(shares[position], keptCount));
			if (raises[position] > 0) {
				commands.add(raised(index.token(key), raises[position], division.baseCount()));
			}
		}
		return commands;
	}

	private List<MaxMinShares.Claim> deficits(TeamRecord team, TokenViewIndex index, Map<Holder, TokenRecord> current,
			List<Holder> reachable, int[] shares) {
		List<MaxMinShares.Claim> deficits = new ArrayList<>();
		for (int position = 0; position < shares.length; position++) {
			Holder holder = reachable.get(position);
			boolean reducing = this.reductions.of(index.token(new TokenKey(team.name(), holder))).isPresent();
			int deficit = Math.max(0, shares[position] - countOf(current, holder));
			deficits.add(new MaxMinShares.Claim(reducing ? 0 : deficit, 1));
		}
		return deficits;
	}

	private static Command raised(TokenRecord record, int additionalCount, int baseCount) {
		int count = record.count() + additionalCount;
		int ownedCount = Math.max(record.ownedCount(), Math.min(count, baseCount));
		return command(
				new TokenRecord(record.team(), record.holder(), ownedCount, count - ownedCount, record.version()));
	}

	private static Command command(TokenRecord wanted) {
		return new TokenCommand.GrantTokens(wanted.team(), wanted.holder(), wanted.ownedCount(), wanted.leasedCount(),
				wanted.version());
	}

	private static int countOf(Map<Holder, TokenRecord> current, Holder holder) {
		return Optional.ofNullable(current.get(holder)).map(TokenRecord::count).orElse(0);
	}

	// The jobs of the team count as one more holder.
	private static int baseCount(TeamRecord team, TokenViewIndex index) {
		return team.spec().upperLimit() / (index.liveHolders().size() + 1);
	}

	private TokenGrants grants(TokenReport report, long correlation, TokenView view, TokenViewIndex index) {
		AnswerId answer = this.reports.nextAnswer(report);
		boolean live = index.isLive(report.holder());
		List<TokenGrant> grants = teamsOf(report, view).stream()
			.map((team) -> grant(answer, index.token(new TokenKey(team, report.holder())), live))
			.toList();
		return new TokenGrants(correlation, this.term, answer.sequence(), answer.answer(), this.settings.leaseMillis(),
				0, grants, List.of());
	}

	private boolean hasMore(TokenReport report, TokenViewIndex index) {
		return index.isLive(report.holder()) && report.usages()
			.stream()
			.filter((usage) -> usage.waitingCount() > 0)
			.map((usage) -> index.token(new TokenKey(usage.team(), report.holder())))
			.anyMatch((record) -> announcedRecord(record).count() > this.reports.announcedCount(TokenKey.of(record)));
	}

	private TokenRecord announcedRecord(TokenRecord record) {
		return this.reductions.of(record).orElse(record);
	}

	private TokenGrant grant(AnswerId answer, TokenRecord record, boolean live) {
		if (!live) {
			return new TokenGrant(record.team(), 0, 0, 0);
		}
		TokenRecord announced = announcedRecord(record);
		this.reports.recordAnswer(answer, record, announced.count());
		int targetCount = this.targetCounts.getOrDefault(TokenKey.of(record), announced.count());
		return new TokenGrant(record.team(), announced.ownedCount(), announced.leasedCount(), targetCount);
	}

	private static Set<TeamName> teamsOf(TokenReport report, TokenView view) {
		Set<TeamName> teams = new TreeSet<>();
		report.usages().stream().map(TokenUsage::team).forEach(teams::add);
		view.tokens()
			.stream()
			.filter((token) -> token.holder().equals(report.holder()))
			.map(TokenRecord::team)
			.forEach(teams::add);
		return teams;
	}

}
