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
 * @param tokens lease and timeouts of the token protocol
 * @param placementPeriod time between two placement rounds
 * @param maintenancePeriod time between two maintenance rounds
 * @param tokenPeriod maximum time between two rounds of the token planner
 */
public record PlannerSettings(PlacementSettings placement, MaintenanceSettings maintenance, TokenSettings tokens,
		Duration placementPeriod, Duration maintenancePeriod, Duration tokenPeriod) {

	/**
	 * Balanced preference, 250 ms between rounds of placement and tokens, 1 s between
	 * rounds of maintenance.
	 */
	public static final PlannerSettings DEFAULT = new PlannerSettings(PlacementSettings.DEFAULT,
			MaintenanceSettings.DEFAULT, TokenSettings.DEFAULT, Duration.ofMillis(250), Duration.ofSeconds(1),
			Duration.ofMillis(250));

	/**
	 * Returns a copy with other settings of the placement planner.
	 * @param placement settings of the placement planner
	 * @return the changed copy
	 */
	public PlannerSettings withPlacement(PlacementSettings placement) {
		return new PlannerSettings(placement, this.maintenance, this.tokens, this.placementPeriod,
				this.maintenancePeriod, this.tokenPeriod);
	}

	/**
	 * Returns a copy with another preference for placement and maintenance.
	 * @param preference weights of the placement goals
	 * @return the changed copy
	 */
	public PlannerSettings withPreference(PlacementPreference preference) {
		return new PlannerSettings(this.placement.withPreference(preference),
				this.maintenance.withPreference(preference), this.tokens, this.placementPeriod, this.maintenancePeriod,
				this.tokenPeriod);
	}

	/**
	 * Returns a copy with another lease duration of tokens.
	 * @param leaseMillis lease duration of tokens
	 * @return the changed copy
	 */
	public PlannerSettings withTokenLease(long leaseMillis) {
		return new PlannerSettings(this.placement, this.maintenance,
				new TokenSettings(leaseMillis, this.tokens.maximumRequestMillis(), this.tokens.reportTimeoutMillis()),
				this.placementPeriod, this.maintenancePeriod, this.tokenPeriod);
	}

}
