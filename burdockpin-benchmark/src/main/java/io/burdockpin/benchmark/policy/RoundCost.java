package io.burdockpin.benchmark.policy;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.maintenance.MaintenancePlanner;
import io.burdockpin.core.maintenance.MaintenanceSettings;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.PlacementPlanner;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.placement.PlacementTables;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.placement.WorkerReconciler;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * Processor time of planning rounds on fleets of different sizes. Half of the jobs are
 * placed, the other half wait; the fleet is nearly full. Has no state between
 * measurements.
 */
final class RoundCost {

	private static final int WARM_UP_ROUNDS = 40;

	private static final int MEASURED_ROUNDS = 21;

	private static final int HOSTS_PER_POOL = 33;

	private static final int HOSTS_PER_RACK = 4;

	private static final long NOW_MILLIS = 1_000_000;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final Resources HOST = new Resources(16_000, 64 * 1024, 0);

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	// access

	/**
	 * Measures both kinds of rounds.
	 * @param size the size of the fleet
	 * @return the median processor times
	 */
	Cost measure(Size size) {
		FleetView view = view(size);
		PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);
		PlacementPlanner placement = new PlacementPlanner(PlacementSettings.DEFAULT, tables);
		WorkerReconciler reconciler = tables.createReconciler();
		MaintenancePlanner maintenance = new MaintenancePlanner(MaintenanceSettings.DEFAULT);
		JobIndex jobs = JobIndex.of(view.jobs());
		for (HostRecord host : view.hosts()) {
			reconciler.reconcile(new WorkerReport(host.spec().name(), "boot-1", 1, Resources.NONE, List.of()), jobs,
					NOW_MILLIS);
		}
		double placementMillis = medianMillis(() -> placement.plan(view, JobIndex.of(view.jobs()), NOW_MILLIS));
		double maintenanceMillis = medianMillis(() -> maintenance.plan(view, JobIndex.of(view.jobs()),
				RemainingTimeEstimator.fromDeclarations(), NOW_MILLIS));
		return new Cost(size, placementMillis, maintenanceMillis);
	}

	// helpers

	private double medianMillis(Runnable round) {
		for (int count = 0; count < WARM_UP_ROUNDS; count++) {
			round.run();
		}
		long[] nanos = new long[MEASURED_ROUNDS];
		for (int count = 0; count < MEASURED_ROUNDS; count++) {
			long before = this.threads.getCurrentThreadCpuTime();
			round.run();
			nanos[count] = this.threads.getCurrentThreadCpuTime() - before;
		}
		Arrays.sort(nanos);
		return nanos[MEASURED_ROUNDS / 2] / NANOS_PER_MILLI;
	}

	private static FleetView view(Size size) {
		int poolCount = Math.max(1, size.hosts() / HOSTS_PER_POOL);
		List<PoolRecord> pools = new ArrayList<>();
		List<PoolName> poolNames = new ArrayList<>();
		for (int number = 0; number < poolCount; number++) {
			poolNames.add(new PoolName("pool-" + number));
			pools.add(new PoolRecord(poolNames.get(number), AvailabilityBudget.DEFAULT, false, 1));
		}
		CampaignSpec campaign = new CampaignSpec(new CampaignName("kernel"), poolNames, 50, 30_000,
				NOW_MILLIS + 86_400_000, 2);
		return new FleetView(pools, hosts(size, poolNames), teams(size), jobs(size, poolNames), List.of(),
				List.of(new CampaignRecord(campaign, CampaignState.RUNNING, 0, List.of(), List.of(), "", 1, 0,
						OptionalLong.empty())));
	}

	private static List<HostRecord> hosts(Size size, List<PoolName> pools) {
		List<HostRecord> hosts = new ArrayList<>();
		for (int number = 0; number < size.hosts(); number++) {
			int rack = number / HOSTS_PER_RACK;
			HostSpec spec = new HostSpec(hostName(number), new DataCentre("dc-" + rack % 6), new Rack("rack-" + rack),
					HOST);
			hosts.add(new HostRecord(spec, pools.get(number % pools.size()), HostState.IN_SERVICE, 1));
		}
		return hosts;
	}

	private static List<TeamRecord> teams(Size size) {
		List<TeamRecord> teams = new ArrayList<>();
		for (int number = 0; number < size.teams(); number++) {
			teams.add(new TeamRecord(new TeamSpec(teamName(number), 1 + number % 3, 100_000, 1000), 1));
		}
		return teams;
	}

	private static List<JobRecord> jobs(Size size, List<PoolName> pools) {
		SplittableRandom random = new SplittableRandom(7);
		int placedPerHost = Math.max(1, size.jobs() / 2 / size.hosts());
		List<JobRecord> jobs = new ArrayList<>();
		for (int number = 0; number < size.jobs(); number++) {
			boolean placed = number < size.jobs() / 2;
			int host = number % size.hosts();
			Resources resources = new Resources(HOST.cpuMillicores() * 9 / 10 / placedPerHost,
					HOST.memoryMebibytes() / 2 / placedPerHost, 0);
			JobSpec spec = new JobSpec(teamName(random.nextInt(size.teams())), pools.get(host % pools.size()),
					resources, 1 + random.nextInt(600_000), false, random.nextInt(5) > 0, Payload.EMPTY);
			Optional<HostName> worker = placed ? Optional.of(hostName(host)) : Optional.empty();
			jobs.add(new JobRecord(new JobId("j-" + number), spec, placed ? JobState.RUNNING : JobState.WAITING, worker,
					placed ? 1 : 0, false, 0, NOW_MILLIS - 1000, 0, "", Payload.EMPTY, Payload.EMPTY));
		}
		return jobs;
	}

	private static HostName hostName(int number) {
		return new HostName("worker-" + number);
	}

	private static TeamName teamName(int number) {
		return new TeamName("team-" + number);
	}

	/**
	 * The size of a fleet.
	 *
	 * @param hosts number of hosts
	 * @param jobs number of jobs that have not ended
	 * @param teams number of teams
	 */
	record Size(int hosts, int jobs, int teams) {

		/**
		 * Returns the sizes that the benchmark measures: the two-year frame with each
		 * dimension varied.
		 * @return the sizes
		 */
		static List<Size> measured() {
			return List.of(new Size(770, 10_000, 110), new Size(385, 10_000, 110), new Size(77, 10_000, 110),
					new Size(770, 5_000, 110), new Size(770, 1_000, 110), new Size(770, 10_000, 55),
					new Size(770, 10_000, 11), new Size(40, 1_000, 4));
		}

	}

	/**
	 * Median processor time of rounds.
	 *
	 * @param size the size of the fleet
	 * @param placementMillis one placement round with the index of its jobs
	 * @param maintenanceMillis one maintenance round with the index of its jobs
	 */
	record Cost(Size size, double placementMillis, double maintenanceMillis) {
	}

}
