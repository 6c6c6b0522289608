package io.burdockpin.benchmark.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * What must hold after every command and every step of a run. The checks count on their
 * own and share no code with the planners.
 */
final class Invariants implements Fleet.AppliedListener, ScenarioRun.StepListener {

	private final ScenarioRun run;

	private final Map<TeamName, Integer> limits = new HashMap<>();

	private final Set<JobId> submitted = new HashSet<>();

	private final Map<JobId, Integer> startCounts = new HashMap<>();

	private final Set<JobId> runningBefore = new HashSet<>();

	Invariants(ScenarioRun run) {
		this.run = run;
		run.scenario().firm().teams().forEach((team) -> this.limits.put(team.name(), team.upperLimit()));
		run.fleet().addListener(this);
		run.addListener(this);
	}

	@Override
	public void applied(Command command, CommandResult result, long nowMillis) {
		if (command instanceof JobCommand.SubmitJob submit) {
			this.submitted.add(submit.job());
		}
		if (result instanceof CommandResult.Rejected rejected) {
			// The state machine would hide a planner that ignores budgets or limits.
			Truth.assertWithMessage("%s at %s: %s", command, nowMillis, rejected.message())
				.that(rejected.code())
				.isNotEqualTo(ErrorCode.BUDGET_EXCEEDED);
			Truth.assertWithMessage("%s at %s: %s", command, nowMillis, rejected.message())
				.that(rejected.code())
				.isNotEqualTo(ErrorCode.TEAM_LIMIT_REACHED);
		}
		else if (command instanceof MaintenanceCommand.StartDrain drain) {
			checkBudget(drain.host(), nowMillis);
		}
	}

	@Override
	public void afterStep(ScenarioRun current) {
		checkHosts();
		checkJobs();
		checkRunning();
	}

	void checkNoJobIsLost() {
		for (JobId job : this.submitted) {
			Truth.assertWithMessage("job %s", job).that(this.run.fleet().state().job(job).isPresent()).isTrue();
		}
		for (JobRecord job : this.run.fleet().state().jobs()) {
			if (job.spec().repeatable()) {
				Truth.assertWithMessage("job %s", job.id()).that(job.state()).isNotEqualTo(JobState.OUTCOME_UNKNOWN);
			}
		}
	}

	private void checkBudget(HostName drained, long nowMillis) {
		HostRecord host = this.run.fleet()
			.state()
			.hosts()
			.stream()
			.filter((record) -> record.name().equals(drained))
			.findFirst()
			.orElseThrow();
		List<HostRecord> pool = this.run.fleet()
			.state()
			.hosts()
			.stream()
			.filter((record) -> record.pool().equals(host.pool()))
			.toList();
		List<HostRecord> out = pool.stream().filter((record) -> !record.state().countsAsAvailable()).toList();
		Truth.assertWithMessage("drain of %s at %s: hosts out of %s", drained, nowMillis, pool.size())
			.that(out.size() * 100)
			.isAtMost(pool.size() * (100 - this.run.scenario().firm().budget().minimumInServicePercent()));
		Truth.assertWithMessage("drain of %s at %s: racks out", drained, nowMillis)
			.that(out.stream().map((record) -> record.spec().rack()).distinct().count())
			.isAtMost(this.run.scenario().firm().budget().maximumRacksOut());
	}

	private void checkHosts() {
		List<HostRecord> hosts = this.run.fleet().state().hosts();
		long names = hosts.stream().map(HostRecord::name).distinct().count();
		Truth.assertThat(names).isEqualTo(this.run.scenario().firm().hosts().size());
		Truth.assertThat(hosts).hasSize((int) names);
	}

	private void checkJobs() {
		Map<TeamName, Integer> held = new HashMap<>();
		for (JobRecord job : this.run.fleet().openJobs()) {
			if (job.state().holdsCapacity()) {
				held.merge(job.spec().team(), 1, Integer::sum);
			}
			if (job.state() == JobState.PARKED) {
				Truth.assertWithMessage("parked job %s fits a host", job)
					.that(job.spec().resources().fitsIn(this.run.scenario().firm().hostCapacity()))
					.isFalse();
			}
		}
		held.forEach((team, count) -> Truth.assertWithMessage("jobs of %s at %s", team, this.run.nowMillis())
			.that(count)
			.isAtMost(this.limits.get(team)));
	}

	private void checkRunning() {
		Set<JobId> running = new HashSet<>();
		Map<TeamName, Integer> runningOfTeam = new HashMap<>();
		for (VirtualWorker worker : this.run.workers().values()) {
			for (JobId job : worker.running()) {
				Truth.assertWithMessage("job %s runs twice at %s", job, this.run.nowMillis())
					.that(running.add(job))
					.isTrue();
				runningOfTeam.merge(this.run.truth(job).orElseThrow().spec().team(), 1, Integer::sum);
			}
		}
		runningOfTeam.forEach((team, count) -> Truth.assertWithMessage("running jobs of %s", team)
			.that(count)
			.isAtMost(this.limits.get(team)));
		running.stream().filter((job) -> !this.runningBefore.contains(job)).forEach(this::noteStart);
		this.runningBefore.clear();
		this.runningBefore.addAll(running);
	}

	private void noteStart(JobId job) {
		int count = this.startCounts.merge(job, 1, Integer::sum);
		if (!this.run.truth(job).orElseThrow().spec().repeatable()) {
			Truth.assertWithMessage("starts of job %s, which is not repeatable", job).that(count).isEqualTo(1);
		}
	}

}
