package io.burdockpin.core.placement;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * State about workers and jobs that is not replicated: leases, reports, pending orders
 * and estimates. Rebuilt from reports after a change of leader. Not thread-safe; owned by
 * one actor.
 */
public final class PlacementTables {

	/** Period after which entries of ended jobs are removed to free memory. */
	private static final long CLEANUP_PERIOD_MILLIS = 5_000;

	private final JobLeases leases;

	private final WorkerTable workers;

	private final StartGuard startGuard = new StartGuard();

	private final InterventionTable interventions = new InterventionTable();

	private final UsageEstimator estimator = new UsageEstimator();

	private final WorkerHealth health;

	private final HostStateMonitor hostStateMonitor;

	private final JobOutcomeObserver outcomeObserver;

	private final LeaseSettings leaseSettings;

	private long lastCleanupMillis;

	/**
	 * Creates empty tables.
	 * @param settings the settings of the planner
	 */
	public PlacementTables(PlacementSettings settings) {
		this.leaseSettings = settings.leases();
		this.leases = new JobLeases(this.leaseSettings);
		this.workers = new WorkerTable(this.leaseSettings);
		this.health = new WorkerHealth(settings.health());
		this.hostStateMonitor = new HostStateMonitor(this.leaseSettings, this.workers, this.health);
		this.outcomeObserver = new JobOutcomeObserver(this.estimator, this.health);
	}

	// life cycle

	/**
	 * Discards the state that a new leader does not have. Usage corrections and worker
	 * health are kept, because they describe jobs and workers independently of the term.
	 */
	public void reset() {
		this.leases.reset();
		this.workers.reset();
		this.startGuard.reset();
		this.interventions.reset();
		this.hostStateMonitor.reset();
	}

	/**
	 * Updates the tables with the records of a round.
	 * @param view the current records
	 * @param jobs the index of the jobs of the view
	 * @param nowMillis the time of the round
	 */
	public void observe(FleetView view, JobIndex jobs, long nowMillis) {
		this.leases.observe(view.jobs(), nowMillis);
		this.interventions.retain(jobs);
		if (nowMillis - this.lastCleanupMillis >= CLEANUP_PERIOD_MILLIS) {
			this.lastCleanupMillis = nowMillis;
			this.estimator.retain(jobs);
			this.health.retain(jobs);
			this.outcomeObserver.retain(jobs);
		}
	}

	/**
	 * Records a placement that this leader proposes, so that its start order may be sent.
	 * @param job the placed job
	 * @param leaseEpoch the lease epoch of the placement
	 */
	public void recordPlacement(JobId job, long leaseEpoch) {
		this.startGuard.recordPlacement(job, leaseEpoch);
	}

	// access

	/**
	 * Creates a reconciler that uses these tables.
	 * @return a reconciler with the same owner as these tables
	 */
	public WorkerReconciler createReconciler() {
		return new WorkerReconciler(this.leaseSettings, this.leases, this.workers, this.startGuard, this.interventions,
				this.outcomeObserver);
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

	/**
	 * Returns the usage estimator.
	 * @return the estimator; may be used only by the owner of these tables
	 */
	public UsageEstimator estimator() {
		return this.estimator;
	}

	WorkerHealth health() {
		return this.health;
	}

	HostStateMonitor hostStateMonitor() {
		return this.hostStateMonitor;
	}

	WorkerEligibility eligibility() {
		return new WorkerEligibility() {

			@Override
			public boolean isEligible(HostName worker, long nowMillis) {
				return PlacementTables.this.workers.isLive(worker, nowMillis);
			}

			@Override
			public int maximumJobs(HostName worker, int usualMaximum) {
				return PlacementTables.this.health.isOnProbation(worker) ? 1 : usualMaximum;
			}

		};
	}

}
