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
 * Divides the teams' upper limits while one member leads in one term. Mutable, owned by
 * one actor; a new term needs a new allocator.
 * <p>
 * A count is raised in the replicated state before its holder is told, and lowered there
 * only after the holder has confirmed the lower count or its lease has lapsed. So the
 * replicated count is never below what the holder uses.
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
	 * @param settings the periods of the protocol
	 * @param term the term of the leader
	 * @param nowMillis when the leader began
	 */
	public TokenAllocator(TokenSettings settings, long term, long nowMillis) {
		this.settings = settings;
		this.term = term;
		this.reports = new HolderReports(term);
		this.leaseExpirations = new LeaseExpirations(settings, nowMillis);
	}

	// access

	/**
	 * Returns the term this allocator belongs to.
	 * @return the term
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Answers a report. Call after a {@link #plan} that knew the report, with a view that
	 * is at least as new, and only while this member leads in the term.
	 * @param report the report
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return the tokens of the holder
	 */
	public TokenGrants answer(TokenReport report, TokenView view, long nowMillis) {
		this.leaseExpirations.renew(report.holder(), nowMillis);
		return grants(report, report.correlation(), view, new TokenViewIndex(view));
	}

	/**
	 * Answers reports again whose holders lack tokens and have got some since the last
	 * answer. Call under the same conditions as {@link #answer}. An answer does not renew
	 * leases a second time, because the holder counts them from its report.
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return further answers by the reports they belong to
	 */
	public Map<TokenReport, TokenGrants> pushes(TokenView view, long nowMillis) {
		List<TokenReport> unmet = this.reports.withUnmetDemand(nowMillis, this.settings.reportTimeoutMillis());
		Map<TokenReport, TokenGrants> pushes = new HashMap<>();
		if (!unmet.isEmpty()) {
			TokenViewIndex counts = new TokenViewIndex(view);
			unmet.stream()
				.filter((report) -> hasMore(report, counts))
				.forEach((report) -> pushes.put(report, grants(report, 0, view, counts)));
		}
		return pushes;
	}

	/**
	 * Tells a holder that an operator has declared it destroyed although it reports. A
	 * life that was replaced by a newer one is not told, so that two processes with the
	 * same name do not end each other's lives in turn.
	 * @param report the report
	 * @param view the replicated records
	 * @return the answer to send instead of grants, or nothing if the holder gets grants
	 */
	public Optional<HolderForgotten> refusal(TokenReport report, TokenView view) {
		TokenViewIndex counts = new TokenViewIndex(view);
		if (counts.isLive(report.holder()) || counts.hasSuccessor(report.holder())) {
			return Optional.empty();
		}
		return Optional.of(new HolderForgotten(report.correlation(), this.term, report.sequence()));
	}

	// changes

	/**
	 * Takes note of a report.
	 * @param report the report
	 * @param nowMillis the current time
	 */
	public void onReport(TokenReport report, long nowMillis) {
		this.reports.add(report, nowMillis);
	}

	/**
	 * Decides which counts to change.
	 * @param view the replicated records
	 * @param nowMillis the current time
	 * @return commands to propose in this order
	 */
	public List<Command> plan(TokenView view, long nowMillis) {
		TokenViewIndex counts = new TokenViewIndex(view);
		List<Command> commands = new ArrayList<>(releaseEndedIncarnations(view, counts, nowMillis));
		for (TeamRecord team : view.teams()) {
			commands.addAll(planTeam(team, counts, nowMillis));
		}
		return commands;
	}

	// helpers

	private List<Command> releaseEndedIncarnations(TokenView view, TokenViewIndex counts, long nowMillis) {
		return view.holders()
			.stream()
			.filter(HolderRecord::blocked)
			.map(HolderRecord::holder)
			.filter((life) -> this.leaseExpirations.isReleasable(life, counts.hasSuccessor(life),
					this.reports.lastReportMillis(life), nowMillis))
			.<Command>map(TokenCommand.ReleaseHolder::new)
			.toList();
	}

	private List<Command> planTeam(TeamRecord team, TokenViewIndex counts, long nowMillis) {
		List<Command> commands = new ArrayList<>();
		Map<Holder, TokenRecord> present = new HashMap<>();
		for (TokenRecord record : counts.tokensOf(team.name())) {
			TokenRecord reduced = reduce(record, nowMillis);
			present.put(record.holder(), reduced);
			if (reduced.count() < record.count()) {
				this.reductions.add(reduced);
				commands.add(command(reduced));
			}
		}
		commands.addAll(raise(team, counts, present, nowMillis));
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
		// Leased tokens go first, because requests may rely on the owned ones for longer.
		int ownedCount = Math.min(record.ownedCount(), count);
		return new TokenRecord(record.team(), record.holder(), ownedCount, count - ownedCount, record.version());
	}

	private List<Command> raise(TeamRecord team, TokenViewIndex counts, Map<Holder, TokenRecord> present,
			long nowMillis) {
		List<Holder> reachable = counts.liveHolders()
			.stream()
			.filter((holder) -> this.reports.isReporting(holder, nowMillis, this.settings.reportTimeoutMillis()))
			.toList();
		List<Integer> demands = reachable.stream()
			.map((holder) -> this.reports.demandOf(new TokenKey(team.name(), holder)))
			.toList();
		int presentCount = present.values().stream().mapToInt(TokenRecord::count).sum();
		int reachableCount = reachable.stream().mapToInt((holder) -> countOf(present, holder)).sum();
		TeamLimitDivision division = new TeamLimitDivision(team.spec().upperLimit(), baseCount(team, counts),
				presentCount - reachableCount, counts.jobsHolding(team.name()), counts.jobsWaiting(team.name()));
		int[] shares = division.shares(demands);
		List<MaxMinShares.Claim> deficits = deficits(team, counts, present, reachable, shares);
		int freeCount = division.freeCount(presentCount, demands);
		boolean enough = deficits.stream().mapToInt(MaxMinShares.Claim::demand).sum() <= freeCount;
		int[] raises = MaxMinShares.divide(Math.max(0, freeCount), deficits);
		List<Command> commands = new ArrayList<>();
		for (int position = 0; position < shares.length; position++) {
			TokenKey key = new TokenKey(team.name(), reachable.get(position));
			// Tokens move only if somebody lacks them, so that quiet teams cause no
			// entries.
			int keptCount = enough ? countOf(present, key.holder()) : 0;
			this.targetCounts.put(key, Math.max(shares[position], keptCount));
			if (raises[position] > 0) {
				commands.add(raised(counts.token(key), raises[position], division.baseCount()));
			}
		}
		return commands;
	}

	private List<MaxMinShares.Claim> deficits(TeamRecord team, TokenViewIndex counts, Map<Holder, TokenRecord> present,
			List<Holder> reachable, int[] shares) {
		List<MaxMinShares.Claim> deficits = new ArrayList<>();
		for (int position = 0; position < shares.length; position++) {
			Holder holder = reachable.get(position);
			boolean reducing = this.reductions.of(counts.token(new TokenKey(team.name(), holder))).isPresent();
			int deficit = Math.max(0, shares[position] - countOf(present, holder));
			deficits.add(new MaxMinShares.Claim(reducing ? 0 : deficit, 1));
		}
		return deficits;
	}

	private static Command raised(TokenRecord record, int additionalCount, int basicCount) {
		int count = record.count() + additionalCount;
		int ownedCount = Math.max(record.ownedCount(), Math.min(count, basicCount));
		return command(
				new TokenRecord(record.team(), record.holder(), ownedCount, count - ownedCount, record.version()));
	}

	private static Command command(TokenRecord wanted) {
		return new TokenCommand.GrantTokens(wanted.team(), wanted.holder(), wanted.ownedCount(), wanted.leasedCount(),
				wanted.version());
	}

	private static int countOf(Map<Holder, TokenRecord> present, Holder holder) {
		return Optional.ofNullable(present.get(holder)).map(TokenRecord::count).orElse(0);
	}

	// The one more is for jobs.
	private static int baseCount(TeamRecord team, TokenViewIndex counts) {
		return team.spec().upperLimit() / (counts.liveHolders().size() + 1);
	}

	private TokenGrants grants(TokenReport report, long correlation, TokenView view, TokenViewIndex counts) {
		AnswerId answer = this.reports.nextAnswer(report);
		boolean live = counts.isLive(report.holder());
		List<TokenGrant> grants = teamsOf(report, view).stream()
			.map((team) -> grant(answer, counts.token(new TokenKey(team, report.holder())), live))
			.toList();
		return new TokenGrants(correlation, this.term, answer.sequence(), answer.answer(), this.settings.leaseMillis(),
				0, grants, List.of());
	}

	private boolean hasMore(TokenReport report, TokenViewIndex counts) {
		return counts.isLive(report.holder()) && report.usages()
			.stream()
			.filter((usage) -> usage.waitingCount() > 0)
			.map((usage) -> counts.token(new TokenKey(usage.team(), report.holder())))
			.anyMatch((record) -> announced(record).count() > this.reports.announcedCount(TokenKey.of(record)));
	}

	private TokenRecord announced(TokenRecord record) {
		return this.reductions.of(record).orElse(record);
	}

	private TokenGrant grant(AnswerId answer, TokenRecord record, boolean live) {
		if (!live) {
			return new TokenGrant(record.team(), 0, 0, 0);
		}
		TokenRecord told = announced(record);
		this.reports.recordAnswer(answer, record, told.count());
		int targetCount = this.targetCounts.getOrDefault(TokenKey.of(record), told.count());
		return new TokenGrant(record.team(), told.ownedCount(), told.leasedCount(), targetCount);
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
