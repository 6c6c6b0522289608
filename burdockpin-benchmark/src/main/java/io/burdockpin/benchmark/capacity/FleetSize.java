package io.burdockpin.benchmark.capacity;

import java.util.List;

/**
 * The numbers of objects in a replicated state.
 *
 * @param hosts workers
 * @param pools pools, each with one queue
 * @param teams teams, each with three keys
 * @param jobs jobs with a payload of 1 KiB
 * @param claims finished claims without a kept answer
 */
record FleetSize(int hosts, int pools, int teams, int jobs, int claims) {

	/** About the size of either firm today. */
	static final FleetSize TODAY = new FleetSize(40, 6, 6, 100, 1_000);

	/** The size in two years. */
	static final FleetSize TWO_YEARS = new FleetSize(770, 23, 110, 5_000, 20_000);

	static List<FleetSize> measured() {
		return List.of(TODAY, new FleetSize(200, 10, 30, 1_000, 5_000), new FleetSize(400, 15, 60, 2_500, 10_000),
				TWO_YEARS);
	}

	@Override
	public String toString() {
		return "%d hosts, %d pools, %d teams, %d jobs, %d claims".formatted(this.hosts, this.pools, this.teams,
				this.jobs, this.claims);
	}

}
