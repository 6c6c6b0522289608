package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.measure.FairShare;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * Collects the measures of one run. Mutable, used by one thread.
 */
final class Measures implements Fleet.AppliedListener {

	private static final int SAMPLE_PERIOD_STEPS = 4;

	private static final double PERCENT = 100;

	private static final double PERCENTILE = 0.99;

	private final ScenarioRun run;

	private final Map<TeamName, Integer> weights = new HashMap<>();

	private final Map<JobId, Long> submittedMillis = new HashMap<>();

	private final Set<JobId> startedJobs = new HashSet<>();

	private final List<Long> urgentDelaysMillis = new ArrayList<>();

	private final double fleetMillicores;

	private double bufferSum;

	private double bufferBoundSum;

	private double usedSum;

	private double nearnessSum;

	private int sampleCount;

	private int contendedCount;

	private int moveCount;

	private double offeredWork;

	private long completedMillis = -1;

	Measures(ScenarioRun run) {
		this.run = run;
		run.scenario().firm().teams().forEach((team) -> this.weights.put(team.name(), team.shareWeight()));
		this.fleetMillicores = run.scenario()
			.firm()
			.hosts()
			.stream()
			.mapToDouble((host) -> host.spec().capacity().cpuMillicores())
			.sum();
	}

	// life cycle

	@Override
	public void applied(Command command, CommandResult result, long nowMillis) {
		boolean accepted = result instanceof CommandResult.Accepted;
		if (accepted && command instanceof MaintenanceCommand.CompleteCampaign && this.completedMillis < 0) {
			this.completedMillis = nowMillis;
		}
	}

	void submitted(JobTruth job, long nowMillis) {
		this.submittedMillis.put(job.job(), nowMillis);
		this.offeredWork += isPossible(job) ? job.workMillicoreMillis() : 0;
	}

	void started(JobId job, long nowMillis) {
		if (!this.startedJobs.add(job)) {
			this.moveCount++;
		}
		else if (this.run.truth(job).filter((truth) -> truth.spec().urgent()).isPresent()) {
			this.urgentDelaysMillis.add(nowMillis - this.submittedMillis.get(job));
		}
	}

	void sample(long step) {
		if (step % SAMPLE_PERIOD_STEPS != 0) {
			return;
		}
		Map<PoolName, PoolSample> pools = samplePools();
		double nearness = 0;
		double fairSum = 0;
		for (PoolSample pool : pools.values()) {
			this.bufferSum += pool.occupiedMillicores - pool.usedMillicores;
			this.bufferBoundSum += pool.packedMillicores() - pool.usedMillicores;
			this.usedSum += pool.usedMillicores;
			Map<TeamName, Double> fair = FairShare.divide(pool.demands, this.weights, pool.capacityMillicores);
			for (Map.Entry<TeamName, Double> entry : fair.entrySet()) {
				nearness += Math.abs(entry.getValue() - pool.running.getOrDefault(entry.getKey(), 0.0));
				fairSum += entry.getValue();
			}
		}
		if (fairSum > 0) {
			this.nearnessSum += Math.max(0, 1 - nearness / fairSum);
			this.contendedCount++;
		}
		this.sampleCount++;
	}

	// access

	RunResult toResult() {
		Map<JobState, Integer> ends = new HashMap<>();
		this.run.fleet().state().jobs().forEach((job) -> ends.merge(job.state(), 1, Integer::sum));
		long endMillis = (this.completedMillis >= 0) ? this.completedMillis : this.run.nowMillis();
		double samples = Math.max(1, this.sampleCount) * this.fleetMillicores / PERCENT;
		double offeredPercent = PERCENT * this.offeredWork / (this.fleetMillicores * this.run.nowMillis());
		return new RunResult(this.bufferSum / samples, this.bufferBoundSum / samples,
				endMillis - Scenario.CAMPAIGN_START_MILLIS, this.completedMillis >= 0, rolloutBoundMillis(),
				this.moveCount, PERCENT * this.nearnessSum / Math.max(1, this.contendedCount), urgentP99Millis(),
				this.urgentDelaysMillis.size(), ends.getOrDefault(JobState.SUCCEEDED, 0),
				ends.getOrDefault(JobState.FAILED, 0), ends.getOrDefault(JobState.OUTCOME_UNKNOWN, 0),
				this.submittedMillis.size(), this.usedSum / samples, Math.min(PERCENT, offeredPercent));
	}

	// helpers

	private boolean isPossible(JobTruth job) {
		return job.spec().resources().fitsIn(this.run.scenario().firm().hostCapacity());
	}

	private Map<PoolName, PoolSample> samplePools() {
		Map<PoolName, PoolSample> pools = new HashMap<>();
		for (HostRecord host : this.run.fleet().state().hosts()) {
			VirtualWorker worker = this.run.workers().get(host.spec().name());
			PoolSample pool = pools.computeIfAbsent(host.pool(), (name) -> new PoolSample());
			pool.hostMillicores = host.spec().capacity().cpuMillicores();
			pool.capacityMillicores += host.state().countsAsAvailable() ? pool.hostMillicores : 0;
			List<JobId> running = worker.isUp() ? worker.running() : List.of();
			if (!running.isEmpty()) {
				pool.occupiedMillicores += pool.hostMillicores;
				pool.usedMillicores += worker.usedMillicores();
			}
			running.forEach((job) -> addRunning(pool, job));
		}
		for (JobRecord job : this.run.fleet().openJobs()) {
			if (job.state() == JobState.WAITING) {
				this.run.truth(job.id())
					.filter(this::isPossible)
					.ifPresent((truth) -> pools.get(job.spec().pool()).demand(truth));
			}
		}
		return pools;
	}

	private void addRunning(PoolSample pool, JobId job) {
		this.run.truth(job).ifPresent((truth) -> {
			pool.running.merge(truth.spec().team(), (double) truth.usage().cpuMillicores(), Double::sum);
			pool.demand(truth);
		});
	}

	private long urgentP99Millis() {
		if (this.urgentDelaysMillis.isEmpty()) {
			return 0;
		}
		List<Long> sorted = new ArrayList<>(this.urgentDelaysMillis);
		Collections.sort(sorted);
		return sorted.get((int) Math.ceil(PERCENTILE * sorted.size()) - 1);
	}

	private long rolloutBoundMillis() {
		// Each host is out for its reboot, and the budget limits how many of a pool are.
		AvailabilityBudget budget = this.run.scenario().firm().budget();
		long longestMillis = 0;
		for (PoolName pool : this.run.scenario().firm().pools()) {
			long hosts = this.run.scenario().firm().hosts().stream().filter((host) -> host.pool().equals(pool)).count();
			long allowed = Math.max(1, hosts * (100 - budget.minimumInServicePercent()) / 100);
			long rounds = (hosts + allowed - 1) / allowed;
			longestMillis = Math.max(longestMillis, rounds * Scenario.REBOOT_MILLIS);
		}
		return longestMillis;
	}

	/** One pool at one moment. */
	private static final class PoolSample {

		private final Map<TeamName, Double> running = new HashMap<>();

		private final Map<TeamName, Double> demands = new HashMap<>();

		private double capacityMillicores;

		private double occupiedMillicores;

		private double usedMillicores;

		private double hostMillicores;

		private void demand(JobTruth job) {
			this.demands.merge(job.spec().team(), (double) job.usage().cpuMillicores(), Double::sum);
		}

		private double packedMillicores() {
			return Math.ceil(this.usedMillicores / this.hostMillicores) * this.hostMillicores;
		}

	}

}
