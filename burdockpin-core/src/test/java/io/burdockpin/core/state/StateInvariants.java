package io.burdockpin.core.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * Checks the invariants of the replicated state after each command. Derives all expected
 * values from the records, independently of the code under test.
 */
final class StateInvariants {

	private final Set<KeyHash> withdrawn = new HashSet<>();

	private final Set<JobId> mayHaveStarted = new HashSet<>();

	private static final long RESULT_KEPT_MILLIS = 24L * 3600 * 1000;

	private final Map<RequestId, DedupRecord> firstResults = new HashMap<>();

	private final Map<ClaimKey, ClaimRecord> claims = new HashMap<>();

	void check(FleetSnapshot before, Proposal proposal, CommandResult result, FleetSnapshot after) {
		checkPools(after);
		checkLending(before, proposal, after);
		checkLimits(before, after);
		checkVersions(before, after);
		checkBudget(before, after);
		checkKeys(after);
		checkAtMostOnce(before, proposal, result, after);
		checkClaims(after);
		checkFirstResult(proposal, result, after.timeMillis());
		Truth.assertThat(after.configuration().index()).isAtLeast(before.configuration().index());
		if (!result.isAccepted()) {
			Truth.assertThat(after.configuration()).isEqualTo(before.configuration());
			Truth.assertThat(after.tokens()).isEqualTo(before.tokens());
			Truth.assertThat(after.campaigns()).isEqualTo(before.campaigns());
		}
	}

	private void checkPools(FleetSnapshot after) {
		List<HostRecord> hosts = after.configuration().hosts();
		Truth.assertThat(hosts.stream().map(HostRecord::name).toList()).containsNoDuplicates();
		Truth.assertThat(after.configuration().pools().stream().map(PoolRecord::name).toList())
			.containsAtLeastElementsIn(hosts.stream().map(HostRecord::pool).collect(Collectors.toSet()));
	}

	private static void checkLending(FleetSnapshot before, Proposal proposal, FleetSnapshot after) {
		for (HostRecord host : after.configuration().hosts()) {
			Optional<HostRecord> old = before.configuration()
				.hosts()
				.stream()
				.filter((other) -> other.name().equals(host.name()))
				.findFirst();
			boolean leftHome = old.filter((other) -> !other.pool().equals(host.pool())).isPresent()
					&& proposal.command() instanceof ConfigurationCommand.LendHost;
			if (leftHome) {
				Truth.assertThat(host.homePool()).isEqualTo(old.map(HostRecord::pool));
			}
			Truth.assertThat(host.homePool()).isNotEqualTo(Optional.of(host.pool()));
			host.homePool()
				.ifPresent((home) -> Truth
					.assertThat(after.configuration().pools().stream().map(PoolRecord::name).toList())
					.contains(home));
		}
	}

	private void checkLimits(FleetSnapshot before, FleetSnapshot after) {
		for (TeamRecord team : after.configuration().teams()) {
			int allowed = Math.max(team.spec().upperLimit(), used(before, team.name()));
			Truth.assertWithMessage("use of " + team).that(used(after, team.name())).isAtMost(allowed);
		}
	}

	private static int used(FleetSnapshot state, TeamName team) {
		int tokens = state.tokens()
			.stream()
			.filter((token) -> token.team().equals(team))
			.mapToInt((token) -> token.ownedCount() + token.leasedCount())
			.sum();
		long jobs = state.jobs()
			.stream()
			.filter((job) -> job.spec().team().equals(team))
			.filter((job) -> job.state() == JobState.PLACED || job.state() == JobState.RUNNING)
			.count();
		return tokens + (int) jobs;
	}

	private void checkVersions(FleetSnapshot before, FleetSnapshot after) {
		for (HostRecord host : after.configuration().hosts()) {
			before.configuration()
				.hosts()
				.stream()
				.filter((old) -> old.name().equals(host.name()) && !old.equals(host))
				.forEach((old) -> Truth.assertThat(host.version()).isGreaterThan(old.version()));
		}
		for (CampaignRecord campaign : after.campaigns()) {
			before.campaigns()
				.stream()
				.filter((old) -> old.name().equals(campaign.name()) && !old.equals(campaign))
				.forEach((old) -> Truth.assertThat(campaign.version()).isGreaterThan(old.version()));
		}
	}

	private void checkBudget(FleetSnapshot before, FleetSnapshot after) {
		Set<HostRecord> started = after.configuration()
			.hosts()
			.stream()
			.filter((host) -> host.state() == HostState.DRAINING)
			.filter((host) -> before.configuration()
				.hosts()
				.stream()
				.anyMatch((old) -> old.name().equals(host.name()) && old.state() == HostState.IN_SERVICE))
			.collect(Collectors.toSet());
		started.forEach((host) -> checkBudgetOf(host, after));
	}

	private void checkBudgetOf(HostRecord drained, FleetSnapshot after) {
		AvailabilityBudget budget = after.configuration()
			.pools()
			.stream()
			.filter((pool) -> pool.name().equals(drained.pool()))
			.findFirst()
			.orElseThrow()
			.budget();
		List<HostRecord> hosts = after.configuration()
			.hosts()
			.stream()
			.filter((host) -> host.pool().equals(drained.pool()) && host.state() != HostState.AWAITED)
			.toList();
		List<HostRecord> out = hosts.stream().filter((host) -> host.state() != HostState.IN_SERVICE).toList();
		Truth.assertThat(out.size()).isAtMost(budget.maximumHostsOut());
		Truth.assertThat(out.stream().map((host) -> host.spec().rack()).distinct().count())
			.isAtMost(budget.maximumRacksOut());
		Truth.assertThat(100.0 * (hosts.size() - out.size()) / hosts.size())
			.isAtLeast((double) budget.minimumInServicePercent());
	}

	private void checkKeys(FleetSnapshot after) {
		Set<KeyHash> now = after.configuration()
			.keys()
			.stream()
			.filter(KeyRecord::withdrawn)
			.map(KeyRecord::hash)
			.collect(Collectors.toSet());
		Truth.assertThat(now).containsAtLeastElementsIn(this.withdrawn);
		this.withdrawn.addAll(now);
	}

	private void checkAtMostOnce(FleetSnapshot before, Proposal proposal, CommandResult result, FleetSnapshot after) {
		// One command may remove an expired job and accept a new one with its identifier.
		before.jobs()
			.stream()
			.filter((job) -> job.state().ended() && job.changedMillis() < after.timeMillis() - RESULT_KEPT_MILLIS)
			.map(JobRecord::id)
			.forEach(this.mayHaveStarted::remove);
		after.jobs().stream().filter((job) -> !job.spec().repeatable()).forEach((job) -> {
			boolean placedAgain = job.state() == JobState.PLACED
					&& job(before, job.id()).filter((old) -> old.state() == JobState.WAITING).isPresent();
			Truth.assertWithMessage("second start of " + job)
				.that(placedAgain && this.mayHaveStarted.contains(job.id()))
				.isFalse();
		});
		after.jobs()
			.stream()
			.filter((job) -> job.state() == JobState.RUNNING)
			.map(JobRecord::id)
			.forEach(this.mayHaveStarted::add);
		// A resend gets the first result and does not interrupt the job, whatever its
		// state is now.
		boolean applied = result instanceof CommandResult.Accepted accepted && accepted.version() == after.index();
		if (proposal.command() instanceof JobCommand.InterruptJob interrupt && applied
				&& !interrupt.certainlyNotStarted()) {
			this.mayHaveStarted.add(interrupt.job());
		}
		this.mayHaveStarted.removeIf((id) -> job(after, id).isEmpty());
	}

	private static Optional<JobRecord> job(FleetSnapshot state, JobId id) {
		return state.jobs().stream().filter((job) -> job.id().equals(id)).findFirst();
	}

	private void checkClaims(FleetSnapshot after) {
		for (ClaimRecord claim : after.claims()) {
			Optional.ofNullable(this.claims.put(ClaimKey.of(claim), claim))
				.filter((old) -> old.state() == ClaimState.FINISHED)
				.ifPresent((old) -> Truth.assertThat(claim).isEqualTo(old));
			Truth.assertThat(claim.body().lengthBytes()).isAtMost(4096);
		}
	}

	private void checkFirstResult(Proposal proposal, CommandResult result, long nowMillis) {
		boolean kept = proposal.command() instanceof ConfigurationCommand
				|| proposal.command() instanceof MaintenanceCommand;
		proposal.requestId().filter((id) -> kept).ifPresent((id) -> {
			DedupRecord now = new DedupRecord(id, nowMillis, proposal.command(), result);
			DedupRecord first = this.firstResults.getOrDefault(id, now);
			boolean expired = first.timeMillis() < nowMillis - RESULT_KEPT_MILLIS;
			if (!expired) {
				Truth.assertWithMessage("result of the resend of " + id).that(result).isEqualTo(first.result());
			}
			this.firstResults.put(id, expired ? now : first);
		});
	}

}
