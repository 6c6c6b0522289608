package io.burdockpin.core.placement;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * What the leader knows about workers and jobs beyond the replicated records. Mutable,
 * owned by one actor and rebuilt from reports after a change of leader.
 */
public final class PlacementTables {

	/** What is known about jobs that have ended only takes memory. */
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
	 * Forgets everything that a new leader does not know. The corrections of declared
	 * sizes are kept, because they only describe habits.
	 */
	public void reset() {
		this.leases.reset();
		this.workers.reset();
		this.startGuard.reset();
		this.interventions.reset();
		this.hostStateMonitor.reset();
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
		if (nowMillis - this.lastCleanupMillis >= CLEANUP_PERIOD_MILLIS) {
			this.lastCleanupMillis = nowMillis;
			this.estimator.retain(jobs);
			this.health.retain(jobs);
			this.outcomeObserver.retain(jobs);
		}
	}

	/**
	 * Takes that this leader proposes a placement, so that its start order may be sent.
	 * @param job the job
	 * @param leaseEpoch the epoch of the placement
	 */
	public void recordPlacement(JobId job, long leaseEpoch) {
		this.startGuard.recordPlacement(job, leaseEpoch);
	}

	// access

	/**
	 * Creates the reconciler that works on these tables.
	 * @return the reconciler
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
	 * Returns the estimator.
	 * @return the estimator, for the owner of these tables only
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
