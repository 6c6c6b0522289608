package io.burdockpin.control.planner;

import java.time.Duration;

import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.maintenance.MaintenanceSettings;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.placement.PlacementSettings;

/**
 * Settings of the planners of one member. Immutable.
 *
 * @param placement settings of the placement planner
 * @param maintenance settings of the maintenance planner
 * @param tokens periods of the token protocol
 * @param placementPeriod time between two placement rounds
 * @param maintenancePeriod time between two maintenance rounds
 * @param tokenPeriod longest time between two rounds of the token planner
 */
public record PlannerSettings(PlacementSettings placement, MaintenanceSettings maintenance, TokenSettings tokens,
		Duration placementPeriod, Duration maintenancePeriod, Duration tokenPeriod) {

	/** Balanced preference; placement and tokens each 250 ms, maintenance each second. */
	public static final PlannerSettings DEFAULT = new PlannerSettings(PlacementSettings.DEFAULT,
			MaintenanceSettings.DEFAULT, TokenSettings.DEFAULT, Duration.ofMillis(250), Duration.ofSeconds(1),
			Duration.ofMillis(250));

	/**
	 * Returns these settings with other settings of the placement planner.
	 * @param placement the settings
	 * @return the changed settings
	 */
	public PlannerSettings withPlacement(PlacementSettings placement) {
		return new PlannerSettings(placement, this.maintenance, this.tokens, this.placementPeriod,
				this.maintenancePeriod, this.tokenPeriod);
	}

	/**
	 * Returns these settings with another preference.
	 * @param preference what the firm values
	 * @return the changed settings
	 */
	public PlannerSettings withPreference(PlacementPreference preference) {
		return new PlannerSettings(this.placement.withPreference(preference),
				this.maintenance.withPreference(preference), this.tokens, this.placementPeriod, this.maintenancePeriod,
				this.tokenPeriod);
	}

	/**
	 * Returns these settings with another lease of tokens.
	 * @param leaseMillis how long leased tokens last without renewal
	 * @return the changed settings
	 */
	public PlannerSettings withTokenLease(long leaseMillis) {
		return new PlannerSettings(this.placement, this.maintenance,
				new TokenSettings(leaseMillis, this.tokens.maximumRequestMillis(), this.tokens.reportTimeoutMillis()),
				this.placementPeriod, this.maintenancePeriod, this.tokenPeriod);
	}

}
