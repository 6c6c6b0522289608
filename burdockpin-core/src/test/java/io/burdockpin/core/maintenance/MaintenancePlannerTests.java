package io.burdockpin.core.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.Records;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;
import org.junit.jupiter.api.Test;

/**
 * Guards against campaigns that exceed budgets, continue after correlated losses or get
 * stuck.
 */
class MaintenancePlannerTests {

	private static final CampaignName CAMPAIGN = new CampaignName("kernel");

	private static final long DRAIN_MILLIS = 30_000;

	private final MaintenancePlanner planner = new MaintenancePlanner(MaintenanceSettings.DEFAULT);

	private final List<HostRecord> hosts = new ArrayList<>();

	private List<JobRecord> jobs = List.of();

	MaintenancePlannerTests() {
		for (int number = 1; number <= 10; number++) {
			this.hosts.add(Records.host(number, HostState.IN_SERVICE));
		}
	}

	@Test
	void aWaveKeepsTheBudgetOfThePoolAndStaysInOneRack() {
		Truth.assertThat(drained(plan(CampaignState.RUNNING, List.of(), 0)))
			.containsExactly(Records.hostName(1), Records.hostName(2));
	}

	@Test
	void anUnplannedHostLossCountsAgainstTheBudget() {
		setState(10, HostState.LOST);
		Truth.assertThat(drained(plan(CampaignState.RUNNING, List.of(), 0))).hasSize(1);
	}

	@Test
	void aHostWithAJobThatWouldBeInterruptedIsDrainedAfterTheOthers() {
		this.jobs = List.of(Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, false), JobState.RUNNING));
		Truth.assertThat(drained(plan(CampaignState.RUNNING, List.of(), 0))).doesNotContain(Records.hostName(1));
	}

	@Test
	void aDrainNoticeListsTheJobsThatTheDrainMoves() {
		this.jobs = new ArrayList<>();
		for (int number = 1; number <= 10; number++) {
			this.jobs
				.add(Records.placedOn(number, "j-" + number, Records.spec("team-1", 1, false, true), JobState.RUNNING));
		}
		MaintenanceDecision decision = plan(CampaignState.RUNNING, List.of(), 0);
		Truth.assertThat(decision.drainNotices()).hasSize(2);
		Truth.assertThat(decision.drainNotices().get(0).movedJobs()).containsExactly(this.jobs.get(0).id());
	}

	@Test
	void aCorrelatedLossPausesTheCampaignAndAResumptionAcknowledgesIt() {
		plan(CampaignState.RUNNING, List.of(), 0);
		for (int number = 8; number <= 10; number++) {
			setState(number, HostState.LOST);
		}
		Truth.assertThat(plan(CampaignState.RUNNING, List.of(), 1_000).commands().get(0))
			.isInstanceOf(MaintenanceCommand.PauseCampaign.class);
		Truth.assertThat(plan(CampaignState.PAUSED, List.of(), 2_000).commands()).isEmpty();
		Truth.assertThat(plan(CampaignState.RUNNING, List.of(), 3_000).commands()).isEmpty();
	}

	@Test
	void aHostReturnsOnlyAfterAReportFromANewBoot() {
		List<DrainRecord> out = List.of(new DrainRecord(Records.hostName(1), DRAIN_MILLIS));
		setState(1, HostState.DRAINING);
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-1"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 0).commands())
			.containsExactly(change(HostState.IN_MAINTENANCE));
		setState(1, HostState.IN_MAINTENANCE);
		Truth.assertThat(plan(CampaignState.PAUSED, out, 1_000).commands()).isEmpty();
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-2"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 2_000).commands())
			.containsExactly(change(HostState.RETURNING));
	}

	@Test
	void aNewLeaderContinuesWithTheHostsThatAreOut() {
		List<DrainRecord> out = List.of(new DrainRecord(Records.hostName(1), DRAIN_MILLIS));
		setState(1, HostState.RETURNING);
		this.planner.reset();
		MaintenanceDecision decision = plan(CampaignState.RUNNING, out, 0);
		Truth.assertThat(decision.commands())
			.contains(new MaintenanceCommand.CompleteHost(CAMPAIGN, Records.hostName(1)));
		Truth.assertThat(drained(decision)).hasSize(1);
	}

	/**
	 * Otherwise the campaign waits for the period of an unconfirmed return, because the
	 * new leader did not observe the reboot.
	 */
	@Test
	void aNewLeaderDetectsFromTheReplicatedBootThatAHostRebootedBeforeItsFirstReport() {
		this.planner.reset();
		List<DrainRecord> out = List.of(new DrainRecord(Records.hostName(1), DRAIN_MILLIS, Optional.of("boot-1")));
		setState(1, HostState.IN_MAINTENANCE);
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-1"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 0).commands()).isEmpty();
		this.planner.reset();
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-2"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 1_000).commands())
			.containsExactly(change(HostState.RETURNING));
	}

	/** Otherwise a host returns to service before its reboot. */
	@Test
	void aNewLeaderDoesNotMistakeTheFirstReportOfAHostThatHasNotRebootedForItsReturn() {
		List<DrainRecord> out = List.of(new DrainRecord(Records.hostName(1), DRAIN_MILLIS, Optional.of("boot-1")));
		setState(1, HostState.IN_MAINTENANCE);
		this.planner.reset();
		Truth.assertThat(plan(CampaignState.PAUSED, out, 0).commands()).isEmpty();
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-1"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 1_000).commands()).isEmpty();
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-2"));
		Truth.assertThat(plan(CampaignState.PAUSED, out, 2_000).commands())
			.containsExactly(change(HostState.RETURNING));
	}

	@Test
	void aDrainRecordsTheBootThatItsHostReportedFrom() {
		this.planner.observe(new HostBootReport(Records.hostName(1), "boot-1"));
		Truth.assertThat(plan(CampaignState.RUNNING, List.of(), 0).commands())
			.contains(new MaintenanceCommand.StartDrain(CAMPAIGN, Records.hostName(1), 2, DRAIN_MILLIS,
					Optional.of("boot-1")));
	}

	private MaintenanceDecision plan(CampaignState state, List<DrainRecord> out, long nowMillis) {
		CampaignSpec spec = new CampaignSpec(CAMPAIGN, List.of(Records.POOL), 5, DRAIN_MILLIS, 10_000_000, 2);
		CampaignRecord campaign = new CampaignRecord(spec, state, 1, out, List.of(), "", 1, 0, OptionalLong.empty());
		FleetView view = new FleetView(List.of(Records.pool(80, 2)), this.hosts, List.of(), this.jobs, List.of(),
				List.of(campaign));
		return this.planner.plan(view, JobIndex.of(this.jobs), RemainingTimeEstimator.fromDeclarations(), nowMillis);
	}

	private void setState(int number, HostState state) {
		this.hosts.set(number - 1, Records.host(number, state));
	}

	private static Command change(HostState state) {
		return new ConfigurationCommand.SetHostState(Records.hostName(1), state, ChangeCause.PLANNER);
	}

	private static List<HostName> drained(MaintenanceDecision decision) {
		return decision.commands()
			.stream()
			.filter(MaintenanceCommand.StartDrain.class::isInstance)
			.map((command) -> ((MaintenanceCommand.StartDrain) command).host())
			.toList();
	}

}
