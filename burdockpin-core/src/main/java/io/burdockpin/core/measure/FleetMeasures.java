package io.burdockpin.core.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * Buffer cost, rollout time, job moves and distance from the fair share, computed from
 * the replicated records. Jobs count with their declared CPU demand. Immutable.
 *
 * @param bufferMillicores unused capacity of the occupied hosts, by pool
 * @param rolloutMillis time since the start of each campaign, up to its end if it has
 * ended
 * @param moveCounts number of moves of the jobs that are still known, by pool
 * @param shareDistances absolute difference between the running demand and the fair share
 * of each team, as a fraction of the fair share; teams without demand are missing
 */
public record FleetMeasures(Map<PoolName, Long> bufferMillicores, Map<CampaignName, Long> rolloutMillis,
		Map<PoolName, Long> moveCounts, Map<TeamName, Double> shareDistances) {

	/**
	 * Computes the measures.
	 * @param configuration pools, hosts and teams
	 * @param jobs all known jobs
	 * @param campaigns all known campaigns
	 * @param nowMillis the current time in milliseconds since the epoch
	 * @return the measures at that time
	 */
	public static FleetMeasures of(ConfigurationSnapshot configuration, List<JobRecord> jobs,
			List<CampaignRecord> campaigns, long nowMillis) {
		Map<PoolName, Long> buffer = new TreeMap<>();
		Map<PoolName, Long> moves = new TreeMap<>();
		configuration.pools().forEach((pool) -> {
			buffer.put(pool.name(), 0L);
			moves.put(pool.name(), 0L);
		});
		Map<HostName, Long> used = usedMillicores(jobs);
		configuration.hosts()
			.stream()
			.filter((host) -> host.state().countsAsAvailable() && used.containsKey(host.name()))
			.forEach((host) -> buffer.merge(host.pool(), Math.max(0, millicores(host) - used.get(host.name())),
					Long::sum));
		jobs.stream()
			.filter((job) -> job.moveCount() > 0)
			.forEach((job) -> moves.merge(job.spec().pool(), (long) job.moveCount(), Long::sum));
		Map<CampaignName, Long> rollout = new TreeMap<>();
		campaigns.forEach((campaign) -> rollout.put(campaign.name(),
				Math.max(0, campaign.endedMillis().orElse(nowMillis) - campaign.startedMillis())));
		return new FleetMeasures(buffer, rollout, moves, shareDistances(configuration, jobs));
	}

	// helpers

	private static Map<HostName, Long> usedMillicores(List<JobRecord> jobs) {
		Map<HostName, Long> used = new HashMap<>();
		jobs.stream()
			.filter((job) -> job.state().holdsCapacity())
			.forEach((job) -> job.worker().ifPresent((host) -> used.merge(host, millicores(job), Long::sum)));
		return used;
	}

	private static Map<TeamName, Double> shareDistances(ConfigurationSnapshot configuration, List<JobRecord> jobs) {
		Map<TeamName, Integer> weights = new HashMap<>();
		for (TeamRecord team : configuration.teams()) {
			weights.put(team.name(), team.spec().shareWeight());
		}
		Map<TeamName, Double> shares = new TreeMap<>();
		Map<TeamName, Double> distances = new TreeMap<>();
		for (PoolName pool : poolNames(configuration)) {
			PoolDemand demand = PoolDemand.of(pool, configuration, jobs, weights);
			FairShare.divide(demand.demandMillicores(), weights, demand.capacityMillicores()).forEach((team, share) -> {
				shares.merge(team, share, Double::sum);
				distances.merge(team, Math.abs(share - demand.runningMillicores().getOrDefault(team, 0.0)),
						Double::sum);
			});
		}
		distances.keySet().retainAll(shares.keySet().stream().filter((team) -> shares.get(team) > 0).toList());
		distances.replaceAll((team, distance) -> distance / shares.get(team));
		return distances;
	}

	private static List<PoolName> poolNames(ConfigurationSnapshot configuration) {
		List<PoolName> pools = new ArrayList<>();
		configuration.pools().forEach((pool) -> pools.add(pool.name()));
		return pools;
	}

	private static long millicores(HostRecord host) {
		return host.spec().capacity().cpuMillicores();
	}

	private static long millicores(JobRecord job) {
		return job.spec().resources().cpuMillicores();
	}

	private record PoolDemand(double capacityMillicores, Map<TeamName, Double> demandMillicores,
			Map<TeamName, Double> runningMillicores) {

		static PoolDemand of(PoolName pool, ConfigurationSnapshot configuration, List<JobRecord> jobs,
				Map<TeamName, Integer> weights) {
			double capacity = configuration.hosts()
				.stream()
				.filter((host) -> host.pool().equals(pool) && host.state().countsAsAvailable())
				.mapToLong(FleetMeasures::millicores)
				.sum();
			Map<TeamName, Double> wanted = new HashMap<>();
			Map<TeamName, Double> running = new HashMap<>();
			for (JobRecord job : jobs) {
				boolean runs = job.state().holdsCapacity();
				boolean counts = runs || job.state() == JobState.WAITING;
				if (counts && job.spec().pool().equals(pool) && weights.containsKey(job.spec().team())) {
					wanted.merge(job.spec().team(), (double) millicores(job), Double::sum);
					running.merge(job.spec().team(), runs ? millicores(job) : 0.0, Double::sum);
				}
			}
			return new PoolDemand(capacity, wanted, running);
		}

	}

}
