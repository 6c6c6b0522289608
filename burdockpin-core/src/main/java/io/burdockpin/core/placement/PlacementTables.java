package io.burdockpin.core.placement;

import io.burdockpin.core.model.HostName;

/**
 * What the leader knows about workers and jobs beyond the replicated records. Mutable,
 * owned by one actor and rebuilt from reports after a change of leader.
 */
public final class PlacementTables {

	private final JobLeases leases;

	private final WorkerTable workers;

	private final StartGuard startGuard = new StartGuard();

	private final InterventionTable interventions = new InterventionTable();

	private final UsageEstimator estimator = new UsageEstimator();

	private final LeaseSettings settings;

	/**
	 * Creates empty tables.
	 * @param settings the periods
	 */
	public PlacementTables(LeaseSettings settings) {
		this.settings = settings;
		this.leases = new JobLeases(settings);
		this.workers = new WorkerTable(settings);
	}

	// life cycle

	/**
	 * Forgets everything that a new leader does not know. The corrections of declared
	 * sizes are kept, because they only describe habits.
	 */
	public void restart() {
		this.leases.restart();
		this.workers.restart();
		this.startGuard.restart();
		this.interventions.restart();
	}

	/**
	 * Takes the records of a round.
	 * @param view the records
	 * @param jobs the jobs of the view
	 * @param nowMillis the time of the round
	 */
	public void observe(FleetView view, JobIndex jobs, long nowMillis) {
		this.leases.observe(view.jobs(), nowMillis);
		this.interventions.retain(jobs);
		this.estimator.retain(jobs);
	}

	// access

	/**
	 * Creates the reconciler that works on these tables.
	 * @return the reconciler
	 */
	public WorkerReconciler createReconciler() {
		return new WorkerReconciler(this.settings, this.leases, this.workers, this.startGuard, this.interventions,
				new OutcomeObserver(this.estimator));
	}

	JobLeases leases() {
		return this.leases;
	}

	WorkerTable workers() {
		return this.workers;
	}

	StartGuard startGuard() {
		return this.startGuard;
	}

	InterventionTable interventions() {
		return this.interventions;
	}

	UsageEstimator estimator() {
		return this.estimator;
	}

	WorkerEligibility eligibility() {
		return new WorkerEligibility() {

			@Override
			public boolean isEligible(HostName worker, long nowMillis) {
				return PlacementTables.this.workers.isLive(worker, nowMillis);
			}

			@Override
			public int maximumJobs(HostName worker, int usualMaximum) {
				return usualMaximum;
			}

		};
	}

}
