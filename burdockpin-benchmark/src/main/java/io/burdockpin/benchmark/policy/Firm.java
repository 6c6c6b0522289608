package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.placement.PlacementPreference;

/** The fleets that the benchmark plans for. */
public enum Firm {

	/** Quillca today: two teams, 35 workers in three data centres and an office pool. */
	QUILLCA(35, 6, 3, 2, 3, new Resources(16_000, 32 * 1024, 0)) {
		@Override
		public PlacementPreference preference() {
			return PlacementPreference.FAST_ROLLOUT;
		}
	},

	/** Nadifa today: four teams, 40 large workers in four data centres. */
	NADIFA(40, 6, 4, 4, 4, new Resources(64_000, 256 * 1024, 0)) {
		@Override
		public PlacementPreference preference() {
			return PlacementPreference.FAIR_SHARE;
		}
	},

	/** The frame of two years: 770 workers, 23 pools, 110 teams, six data centres. */
	TWO_YEARS(740, 30, 22, 110, 6, new Resources(16_000, 64 * 1024, 0)) {
		@Override
		public PlacementPreference preference() {
			return PlacementPreference.BALANCED;
		}
	};

	/** The pool whose hosts are lent. */
	public static final PoolName SPARE_POOL = new PoolName("spare");

	/** Every host of the spare pool may be lent at once. */
	static final AvailabilityBudget SPARE_BUDGET = new AvailabilityBudget(0, 1000, 1000);

	private static final int HOSTS_PER_RACK = 4;

	private static final int UNITS_PER_HOST = 40;

	private final int workerCount;

	private final int spareCount;

	private final int poolCount;

	private final int teamCount;

	private final int dataCentreCount;

	private final Resources hostCapacity;

	Firm(int workerCount, int spareCount, int poolCount, int teamCount, int dataCentreCount, Resources hostCapacity) {
		this.workerCount = workerCount;
		this.spareCount = spareCount;
		this.poolCount = poolCount;
		this.teamCount = teamCount;
		this.dataCentreCount = dataCentreCount;
		this.hostCapacity = hostCapacity;
	}

	/**
	 * Returns what the firm values.
	 * @return the preset
	 */
	public abstract PlacementPreference preference();

	/**
	 * Returns the budget of each pool: four hosts in five stay in service, and at most
	 * two racks have a host out.
	 * @return the budget
	 */
	public AvailabilityBudget budget() {
		return new AvailabilityBudget(80, 1000, 2);
	}

	/**
	 * Returns the pools without the spare pool.
	 * @return their names
	 */
	public List<PoolName> pools() {
		List<PoolName> pools = new ArrayList<>();
		for (int number = 1; number <= this.poolCount; number++) {
			pools.add(new PoolName("pool-" + number));
		}
		return pools;
	}

	/**
	 * Returns the hosts, spare ones last.
	 * @return hosts with their pools
	 */
	public List<PooledHost> hosts() {
		List<PooledHost> hosts = new ArrayList<>();
		List<PoolName> pools = pools();
		int total = this.workerCount + this.spareCount;
		for (int number = 0; number < total; number++) {
			int rack = number / HOSTS_PER_RACK;
			HostSpec spec = new HostSpec(new HostName("worker-" + (number + 1)),
					new DataCentre("dc-" + (1 + rack % this.dataCentreCount)), new Rack("rack-" + (rack + 1)),
					this.hostCapacity);
			boolean spare = number >= this.workerCount;
			hosts.add(new PooledHost(spec, spare ? SPARE_POOL : pools.get(rack % this.poolCount)));
		}
		return hosts;
	}

	/**
	 * Returns the teams. Shares differ; the first team has the largest.
	 * @return the teams
	 */
	public List<TeamSpec> teams() {
		List<TeamSpec> teams = new ArrayList<>();
		int limit = Math.max(UNITS_PER_HOST, this.workerCount * UNITS_PER_HOST / this.teamCount);
		for (int number = 1; number <= this.teamCount; number++) {
			int weight = 1 + (this.teamCount - number) % 3;
			teams.add(new TeamSpec(new TeamName("team-" + number), weight, limit, 0));
		}
		return teams;
	}

	/**
	 * Returns the capacity of one host.
	 * @return the capacity
	 */
	public Resources hostCapacity() {
		return this.hostCapacity;
	}

	/**
	 * A host with its first pool.
	 *
	 * @param spec the host
	 * @param pool its pool
	 */
	public record PooledHost(HostSpec spec, PoolName pool) {
	}

}
