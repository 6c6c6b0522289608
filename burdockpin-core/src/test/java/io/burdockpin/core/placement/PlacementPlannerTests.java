package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;
import org.junit.jupiter.api.Test;

/** Guards against placements that starve or lose jobs, or that overcommit workers. */
class PlacementPlannerTests {

	private static final List<TeamRecord> ONE_TEAM = List.of(Records.team("team-1", 1, 100));

	private final PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);

	private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.DEFAULT, this.tables);

	private final WorkerReconciler reconciler = this.tables.createReconciler();

	@Test
	void aJobThatFitsNowhereIsParkedAndDoesNotBlockAnother() {
		JobRecord huge = Records.waiting("j-huge", Records.spec("team-1", 64, false, true));
		JobRecord small = Records.waiting("j-small", Records.spec("team-1", 1, false, true));
		List<Command> commands = plan(1, ONE_TEAM, List.of(huge, small));
		Truth.assertThat(commands.stream().filter(JobCommand.ParkJob.class::isInstance).toList()).hasSize(1);
		Truth.assertThat(placed(commands)).containsExactly(small.id());
	}

	@Test
	void aParkedJobIsUnparkedWhenItFits() {
		JobRecord parked = Records.placedOn(1, "j-1", Records.spec("team-1", 2, false, true), JobState.PARKED);
		Truth.assertThat(plan(1, ONE_TEAM, List.of(parked))).containsExactly(new JobCommand.UnparkJob(parked.id()));
	}

	@Test
	void aTeamAtItsLimitGetsNoFurtherJobAndTheOtherTeamDoes() {
		List<TeamRecord> teams = List.of(Records.team("team-1", 1, 1), Records.team("team-2", 1, 100));
		List<JobRecord> jobs = List.of(
				Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true), JobState.RUNNING),
				Records.waiting("j-2", Records.spec("team-1", 1, false, true)),
				Records.waiting("j-3", Records.spec("team-2", 1, false, true)));
		Truth.assertThat(placed(plan(1, teams, jobs))).containsExactly(new JobId("j-3"));
	}

	@Test
	void twoTeamsShareAFullPoolByWeight() {
		List<TeamRecord> teams = List.of(Records.team("team-1", 3, 100), Records.team("team-2", 1, 100));
		List<JobRecord> jobs = new ArrayList<>();
		for (int number = 0; number < 20; number++) {
			jobs.add(Records.waiting("j-a" + number, Records.spec("team-1", 1, false, true)));
			jobs.add(Records.waiting("j-b" + number, Records.spec("team-2", 1, false, true)));
		}
		List<JobId> placed = placed(plan(2, teams, jobs));
		Truth.assertThat(placed).hasSize(8);
		Truth.assertThat(placed.stream().filter((job) -> job.value().startsWith("j-a")).count()).isEqualTo(6);
	}

	@Test
	void anUrgentJobPreemptsARepeatableOneAtOnce() {
		JobRecord repeatable = Records.placedOn(1, "j-1", Records.spec("team-1", 4, false, true), JobState.RUNNING);
		JobRecord urgent = Records.waiting("j-2", Records.spec("team-1", 2, true, true));
		Truth.assertThat(placed(plan(1, ONE_TEAM, List.of(repeatable, urgent)))).containsExactly(urgent.id());
		Truth.assertThat(this.tables.interventions().isStopping(repeatable)).isTrue();
	}

	@Test
	void anUrgentJobDoesNotStopAJobThatIsNotRepeatable() {
		JobRecord notRepeatable = Records.placedOn(1, "j-1", Records.spec("team-1", 4, false, false), JobState.RUNNING);
		JobRecord urgent = Records.waiting("j-2", Records.spec("team-1", 2, true, true));
		Truth.assertThat(placed(plan(1, ONE_TEAM, List.of(notRepeatable, urgent)))).isEmpty();
		Truth.assertThat(this.tables.interventions().isStopping(notRepeatable)).isFalse();
	}

	/** Otherwise a roll-out may find no host whose jobs end within the drain time. */
	@Test
	void aJobThatWouldBlockTheNextDrainWaitsInsteadOfTakingTheHostThatIsNext() {
		CampaignSpec spec = new CampaignSpec(new CampaignName("kernel"), List.of(Records.POOL), 1, 30_000, 1_000_000,
				2);
		CampaignRecord campaign = new CampaignRecord(spec, CampaignState.RUNNING, 0, List.of(), List.of(), "", 1, 0,
				OptionalLong.empty());
		JobRecord notRepeatable = Records.waiting("j-1", Records.spec("team-1", 1, false, false));
		JobRecord repeatable = Records.waiting("j-2", Records.spec("team-1", 1, false, true));
		this.tables.workers().recordReport(Records.report(1, "boot-1"), 100);
		List<JobRecord> jobs = List.of(notRepeatable, repeatable);
		FleetView view = new FleetView(List.of(Records.pool(80, 2)), List.of(Records.host(1, HostState.IN_SERVICE)),
				ONE_TEAM, jobs, List.of(), List.of(campaign));
		Truth.assertThat(placed(this.planner.plan(view, JobIndex.of(jobs), 100).commands()))
			.containsExactly(repeatable.id());
	}

	/**
	 * Otherwise an expired lease or a silent host is handled only in the next periodic
	 * round.
	 */
	@Test
	void theNextDecisionIsDueAtTheFirstExpiryOfALeaseOrSilenceOfAHost() {
		long expiryMillis = PlacementSettings.DEFAULT.leases().expiryMillis();
		JobRecord job = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true), JobState.RUNNING);
		FleetView view = new FleetView(List.of(Records.pool(80, 2)), List.of(Records.host(1, HostState.IN_SERVICE)),
				ONE_TEAM, List.of(job), List.of(), List.of());
		this.tables.workers().recordReport(Records.report(1, "boot-1"), 100);
		this.planner.plan(view, JobIndex.of(List.of(job)), 150);
		Truth.assertThat(this.planner.nextDueMillis(view, 150)).isEqualTo(100 + expiryMillis);
		this.tables.workers().recordReport(Records.report(1, "boot-1"), 5_000);
		long dueMillis = this.planner.nextDueMillis(view, 5_000);
		Truth.assertThat(dueMillis).isEqualTo(150 + expiryMillis);
		Truth.assertThat(this.planner.plan(view, JobIndex.of(List.of(job)), dueMillis - 1).commands()).isEmpty();
		Truth.assertThat(this.planner.plan(view, JobIndex.of(List.of(job)), dueMillis).commands())
			.contains(new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, job.checkpoint()));
	}

	@Test
	void aWorkerThatFailsThreeDifferentJobsQuicklyIsSetAside() {
		List<JobRecord> jobs = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			JobRecord job = Records.placedOn(1, "j-" + number, Records.spec("team-1", 1, false, true),
					JobState.RUNNING);
			jobs.add(job);
			this.reconciler.reconcile(
					Records.report(1, "boot-1", Records.jobReport(job.id().value(), 1, JobPhase.FAILED)),
					JobIndex.of(jobs), 100);
		}
		Truth.assertThat(plan(2, ONE_TEAM, jobs))
			.contains(new ConfigurationCommand.SetHostState(Records.hostName(1), HostState.SET_ASIDE,
					ChangeCause.WORKER_REPORT));
	}

	@Test
	void aHostIsLostOnlyAfterAFullLeaseOfSilence() {
		List<HostRecord> hosts = List.of(Records.host(1, HostState.IN_SERVICE));
		FleetView view = Records.view(hosts, ONE_TEAM, List.of());
		JobIndex none = JobIndex.of(List.of());
		Truth.assertThat(this.planner.plan(view, none, 0).commands()).isEmpty();
		Truth.assertThat(this.planner.plan(view, none, 35_999).commands()).isEmpty();
		Truth.assertThat(this.planner.plan(view, none, 36_000).commands()).hasSize(1);
	}

	private List<Command> plan(int hostCount, List<TeamRecord> teams, List<JobRecord> jobs) {
		List<HostRecord> hosts = new ArrayList<>();
		for (int number = 1; number <= hostCount; number++) {
			hosts.add(Records.host(number, HostState.IN_SERVICE));
			this.tables.workers().recordReport(Records.report(number, "boot-1"), 100);
		}
		return this.planner.plan(Records.view(hosts, teams, jobs), JobIndex.of(jobs), 100).commands();
	}

	private static List<JobId> placed(List<Command> commands) {
		return commands.stream()
			.filter(JobCommand.PlaceJob.class::isInstance)
			.map((command) -> ((JobCommand.PlaceJob) command).job())
			.toList();
	}

}
