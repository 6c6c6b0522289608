package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.maintenance.HostBootReport;
import io.burdockpin.core.maintenance.MaintenancePlanner;
import io.burdockpin.core.maintenance.MaintenanceSettings;
import io.burdockpin.core.maintenance.SparePlanner;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.PlacementPlanner;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.placement.PlacementTables;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.placement.WorkerReconciler;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobCommand;

/** The planners of burdockpin, composed as the actors compose them. */
public class PlannerPolicy implements Policy {

	private final PlacementTables tables;

	private final PlacementPlanner placement;

	private final WorkerReconciler reconciler;

	private final MaintenancePlanner maintenance;

	private final SparePlanner spares;

	/**
	 * Creates the planners.
	 * @param preference what the firm values
	 */
	public PlannerPolicy(PlacementPreference preference) {
		PlacementSettings settings = PlacementSettings.DEFAULT.withPreference(preference);
		MaintenanceSettings maintenanceSettings = MaintenanceSettings.DEFAULT.withPreference(preference);
		this.tables = new PlacementTables(settings);
		this.placement = new PlacementPlanner(settings, this.tables);
		this.reconciler = this.tables.createReconciler();
		this.maintenance = new MaintenancePlanner(maintenanceSettings);
		this.spares = new SparePlanner(maintenanceSettings);
	}

	@Override
	public ReconciliationResult answer(WorkerReport report, JobIndex jobs, long nowMillis) {
		this.maintenance.observe(new HostBootReport(report.worker(), report.bootId()));
		return this.reconciler.reconcile(report, jobs, nowMillis);
	}

	@Override
	public List<Command> place(FleetView view, JobIndex jobs, long nowMillis) {
		return this.placement.plan(view, jobs, nowMillis).commands();
	}

	/**
	 * Takes a placement that another policy decided.
	 * @param placement the placement
	 */
	void notePlaced(JobCommand.PlaceJob placement) {
		this.tables.recordPlacement(placement.job(), placement.leaseEpoch());
	}

	@Override
	public List<Command> maintain(FleetView view, JobIndex jobs, long nowMillis) {
		List<Command> commands = new ArrayList<>(
				this.maintenance.plan(view, jobs, this.tables.estimator(), nowMillis).commands());
		commands.addAll(this.spares.plan(view, jobs, nowMillis));
		return commands;
	}

	@Override
	public void restart() {
		this.placement.reset();
		this.maintenance.reset();
		this.spares.reset();
	}

}
