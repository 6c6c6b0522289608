package io.burdockpin.benchmark.policy;

/**
 * What one run does. Immutable.
 *
 * @param firm the fleet
 * @param seed seed of the demand and of the incidents
 * @param durationMillis virtual length
 * @param loadPart mean demand as a part of the fleet's processor capacity
 * @param incidents whether cancellations, failing workers, a lost rack, a silent cut and
 * a change of leader happen
 * @param campaign whether all pools are maintained during the run
 */
public record Scenario(Firm firm, long seed, long durationMillis, double loadPart, boolean incidents,
		boolean campaign) {

	/** When the campaign starts. */
	static final long CAMPAIGN_START_MILLIS = 60_000;

	/** How long a drain waits for jobs. */
	static final long DRAIN_MILLIS = 30_000;

	/** How long a host takes to reboot. */
	static final long REBOOT_MILLIS = 20_000;

	/** How long a queue's turn lasts. */
	static final long TURN_MILLIS = 20_000;

	/**
	 * Returns the scenario that the benchmark runs for a firm.
	 * @param firm the firm
	 * @return all incidents and a campaign
	 */
	public static Scenario standard(Firm firm) {
		return new Scenario(firm, 42, 900_000, 0.7, true, true);
	}

	/**
	 * Returns this scenario with another seed.
	 * @param seed the seed
	 * @return the changed scenario
	 */
	public Scenario withSeed(long seed) {
		return new Scenario(this.firm, seed, this.durationMillis, this.loadPart, this.incidents, this.campaign);
	}

	/**
	 * Returns this scenario with another length.
	 * @param durationMillis the virtual length
	 * @return the changed scenario
	 */
	public Scenario withDuration(long durationMillis) {
		return new Scenario(this.firm, this.seed, durationMillis, this.loadPart, this.incidents, this.campaign);
	}

}
