package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the placement planner. Immutable.
 *
 * @param preference weights of the optimization goals
 * @param leases lease duration and liveness timeout
 * @param health when failing workers are set aside
 * @param maximumPlacementsPerRound maximum number of jobs that one round places
 * @param maximumJobsPerWorker maximum number of concurrent jobs on a worker
 * @param reservationWaitMillis how long a job that is not urgent waits before a host is
 * reserved for it, and the maximum duration of a reservation
 */
public record PlacementSettings(PlacementPreference preference, LeaseSettings leases, HealthSettings health,
		int maximumPlacementsPerRound, int maximumJobsPerWorker, long reservationWaitMillis) {

	/**
	 * Balanced preference and default periods. Jobs of a lost host are placed again after
	 * its lease and margin (36 s); a job that still waits after one minute lacks free
	 * capacity, so a host is reserved for it.
	 */
	public static final PlacementSettings DEFAULT = new PlacementSettings(PlacementPreference.BALANCED,
			LeaseSettings.DEFAULT, HealthSettings.DEFAULT, 500, 1000, 60_000);

	public PlacementSettings {
		Checks.range("maximumPlacementsPerRound", maximumPlacementsPerRound, 1, 100_000);
		Checks.range("maximumJobsPerWorker", maximumJobsPerWorker, 1, 100_000);
		Checks.range("reservationWaitMillis", reservationWaitMillis, 1_000, 86_400_000);
	}

	/**
	 * Returns a copy of these settings with another preference.
	 * @param preference the weights of the optimization goals
	 * @return the changed settings
	 */
	public PlacementSettings withPreference(PlacementPreference preference) {
		return new PlacementSettings(preference, this.leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, this.reservationWaitMillis);
	}

	/**
	 * Returns a copy of these settings with other lease settings.
	 * @param leases the lease duration and the liveness timeout
	 * @return the changed settings
	 */
	public PlacementSettings withLeases(LeaseSettings leases) {
		return new PlacementSettings(this.preference, leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, this.reservationWaitMillis);
	}

	/**
	 * Returns a copy of these settings with another reservation wait.
	 * @param reservationWaitMillis the wait in milliseconds
	 * @return the changed settings
	 */
	public PlacementSettings withReservationWait(long reservationWaitMillis) {
		return new PlacementSettings(this.preference, this.leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, reservationWaitMillis);
	}

}
