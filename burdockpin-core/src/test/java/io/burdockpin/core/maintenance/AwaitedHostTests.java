package io.burdockpin.core.maintenance;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.PlacementPlanner;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.placement.PlacementTables;
import io.burdockpin.core.placement.Records;
import io.burdockpin.core.placement.WorkerReconciler;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.MaintenanceCommand;
import io.burdockpin.core.state.Proposal;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that have never reported being counted as lost, which pauses a
 * campaign, or as available, which lets it take out more hosts than the budget of the
 * pool permits.
 */
class AwaitedHostTests {

	private static final CampaignName CAMPAIGN = new CampaignName("kernel");

	private static final int REPORTING_HOSTS = 5;

	private static final int HOSTS = 12;

	/** Rounds of one second; longer than a lease duration plus its margin. */
	private static final int ROUNDS = 120;

	private FleetState state = FleetState.empty();

	private final PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);

	private final PlacementPlanner placement = new PlacementPlanner(PlacementSettings.DEFAULT, this.tables);

	private final WorkerReconciler reconciler = this.tables.createReconciler();

	private final MaintenancePlanner maintenance = new MaintenancePlanner(MaintenanceSettings.DEFAULT);

	private long nowMillis;

	private int reporting = REPORTING_HOSTS;

	private int maximumOut;

	@BeforeEach
	void addHosts() {
		accept(new ConfigurationCommand.CreatePool(Records.POOL, new AvailabilityBudget(80, 1000, 1000), false));
		for (int number = 1; number <= HOSTS; number++) {
			ConfigurationCommand.AddHost add = new ConfigurationCommand.AddHost(
					Records.host(number, HostState.IN_SERVICE).spec(), Records.POOL);
			accept(new OperatorRequest.Change(new RequestId("add-" + number), OptionalLong.empty(), add).command());
		}
		run(2);
		accept(new MaintenanceCommand.StartCampaign(
				new CampaignSpec(CAMPAIGN, List.of(Records.POOL), HOSTS, 30_000, 100_000_000, 2)));
	}

	@Test
	void hostsThatHaveNeverReportedNeitherPauseACampaignNorAddToTheBudgetAcrossASnapshotAndAChangeOfLeader() {
		run(ROUNDS);
		this.state = FleetState.restore(this.state.snapshot());
		this.placement.reset();
		this.maintenance.reset();
		run(ROUNDS);
		Truth.assertThat(campaign().state()).isEqualTo(CampaignState.RUNNING);
		// 80% of the five reporting hosts must stay in service, not of all twelve.
		Truth.assertThat(this.maximumOut).isEqualTo(1);
	}

	@Test
	void hostsThatReportedOnceAndThenFallSilentTogetherPauseTheCampaign() {
		this.reporting = HOSTS;
		run(ROUNDS);
		this.reporting = REPORTING_HOSTS;
		run(ROUNDS);
		Truth.assertThat(campaign().state()).isEqualTo(CampaignState.PAUSED);
	}

	@Test
	void aCampaignCompletesWithoutTheHostsThatHaveNeverReported() {
		for (int round = 0; round < ROUNDS; round++) {
			run(1);
			hosts(HostState.IN_MAINTENANCE).forEach(this::reboot);
		}
		Truth.assertThat(campaign().state()).isEqualTo(CampaignState.COMPLETED);
		Truth.assertThat(campaign().hostsDone()).hasSize(REPORTING_HOSTS);
	}

	private void run(int rounds) {
		for (int round = 0; round < rounds; round++) {
			this.nowMillis += 1_000;
			for (int number = 1; number <= this.reporting; number++) {
				this.reconciler.reconcile(Records.report(number, "boot-1"), JobIndex.of(List.of()), this.nowMillis);
			}
			FleetView view = view();
			this.placement.plan(view, JobIndex.of(List.of()), this.nowMillis).commands().forEach(this::apply);
			this.maintenance.plan(view(), JobIndex.of(List.of()), this.tables.estimator(), this.nowMillis)
				.commands()
				.forEach(this::accept);
			int out = hosts(HostState.DRAINING).size() + hosts(HostState.IN_MAINTENANCE).size();
			this.maximumOut = Math.max(this.maximumOut, out);
		}
	}

	private void reboot(HostName host) {
		this.maintenance.observe(new HostBootReport(host, "boot-" + this.nowMillis));
	}

	private FleetView view() {
		return new FleetView(this.state.pools(), this.state.hosts(), this.state.teams(), List.of(), List.of(),
				this.state.campaigns());
	}

	private List<HostName> hosts(HostState hostState) {
		return this.state.hosts().stream().filter((host) -> host.state() == hostState).map(HostRecord::name).toList();
	}

	private CampaignRecord campaign() {
		return this.state.campaigns().get(0);
	}

	private void accept(Command command) {
		CommandResult result = apply(command);
		Truth.assertWithMessage("%s: %s", command, result).that(result.isAccepted()).isTrue();
	}

	private CommandResult apply(Command command) {
		return this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), command));
	}

}
