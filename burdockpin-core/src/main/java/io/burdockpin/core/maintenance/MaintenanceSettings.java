package io.burdockpin.core.maintenance;

import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.util.Checks;

/**
 * Settings of the maintenance planner. Immutable.
 *
 * @param preference what the firm values
 * @param lossWindowMillis how long a host that failed on its own counts as part of a
 * correlated loss
 * @param unconfirmedReturnMillis how long a host must report before it counts as
 * maintained when this leader does not know whether it has rebooted
 * @param shortageMillis how long jobs must wait for room before a spare host is lent
 * @param idleMillis how long a lent host must be idle before it goes back
 */
public record MaintenanceSettings(PlacementPreference preference, long lossWindowMillis, long unconfirmedReturnMillis,
		long shortageMillis, long idleMillis) {

	/** Balanced preference and periods of some minutes. */
	public static final MaintenanceSettings DEFAULT = new MaintenanceSettings(PlacementPreference.BALANCED, 600_000,
			600_000, 10_000, 300_000);

	private static final long LONGEST_PERIOD_MILLIS = 7L * 24 * 3600 * 1000;

	public MaintenanceSettings {
		Checks.range("lossWindowMillis", lossWindowMillis, 0, LONGEST_PERIOD_MILLIS);
		Checks.range("unconfirmedReturnMillis", unconfirmedReturnMillis, 0, LONGEST_PERIOD_MILLIS);
		Checks.range("shortageMillis", shortageMillis, 0, LONGEST_PERIOD_MILLIS);
		Checks.range("idleMillis", idleMillis, 0, LONGEST_PERIOD_MILLIS);
	}

	/**
	 * Returns these settings with another preference.
	 * @param preference what the firm values
	 * @return the changed settings
	 */
	public MaintenanceSettings withPreference(PlacementPreference preference) {
		return new MaintenanceSettings(preference, this.lossWindowMillis, this.unconfirmedReturnMillis,
				this.shortageMillis, this.idleMillis);
	}

}
