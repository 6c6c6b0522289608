package io.burdockpin.core.maintenance;

import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.util.Checks;

/**
 * Settings of the maintenance planner. Immutable.
 *
 * @param preference weights of the optimization goals
 * @param lossWindowMillis how long an unplanned host loss counts towards a correlated
 * loss
 * @param unconfirmedReturnMillis how long this leader must have known a reporting host to
 * be in maintenance before the host counts as returned, if a reboot cannot be confirmed
 * @param shortageMillis how long jobs must wait for free capacity before a spare host is
 * lent
 * @param idleMillis how long a lent host must be idle before it is returned
 */
public record MaintenanceSettings(PlacementPreference preference, long lossWindowMillis, long unconfirmedReturnMillis,
		long shortageMillis, long idleMillis) {

	/** Balanced preference, and periods from ten seconds to ten minutes. */
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
	 * Returns a copy of these settings with another preference.
	 * @param preference the weights of the optimization goals
	 * @return the changed settings
	 */
	public MaintenanceSettings withPreference(PlacementPreference preference) {
		return new MaintenanceSettings(preference, this.lossWindowMillis, this.unconfirmedReturnMillis,
				this.shortageMillis, this.idleMillis);
	}

}
