package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the placement planner. Immutable.
 *
 * @param preference what the firm values
 * @param leases periods of leases and reports
 * @param health when workers are set aside
 * @param maximumPlacementsPerRound how many jobs one round places at most
 * @param maximumJobsPerWorker how many jobs a worker runs at once at most
 * @param reservationWaitMillis how long a job that is not urgent waits before a host is
 * reserved for it, and how long the reservation of one host lasts at most
 */
public record PlacementSettings(PlacementPreference preference, LeaseSettings leases, HealthSettings health,
		int maximumPlacementsPerRound, int maximumJobsPerWorker, long reservationWaitMillis) {

	/**
	 * Balanced preference and default periods. A job that waits longer than the lease of
	 * a lost host and its margin (36 s) waits for room and not for a recovery, so a host
	 * is reserved after one minute.
	 */
	public static final PlacementSettings DEFAULT = new PlacementSettings(PlacementPreference.BALANCED,
			LeaseSettings.DEFAULT, HealthSettings.DEFAULT, 500, 1000, 60_000);

	public PlacementSettings {
		Checks.range("maximumPlacementsPerRound", maximumPlacementsPerRound, 1, 100_000);
		Checks.range("maximumJobsPerWorker", maximumJobsPerWorker, 1, 100_000);
		Checks.range("reservationWaitMillis", reservationWaitMillis, 1_000, 86_400_000);
	}

	/**
	 * Returns these settings with another preference.
	 * @param preference what the firm values
	 * @return the changed settings
	 */
	public PlacementSettings withPreference(PlacementPreference preference) {
		return new PlacementSettings(preference, this.leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, this.reservationWaitMillis);
	}

	/**
	 * Returns these settings with other periods.
	 * @param leases periods of leases and reports
	 * @return the changed settings
	 */
	public PlacementSettings withLeases(LeaseSettings leases) {
		return new PlacementSettings(this.preference, leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, this.reservationWaitMillis);
	}

	/**
	 * Returns these settings with another wait before a reservation.
	 * @param reservationWaitMillis the wait in milliseconds
	 * @return the changed settings
	 */
	public PlacementSettings withReservationWait(long reservationWaitMillis) {
		return new PlacementSettings(this.preference, this.leases, this.health, this.maximumPlacementsPerRound,
				this.maximumJobsPerWorker, reservationWaitMillis);
	}

}
