package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.batch.lead.place.RunnerChoice;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * Decides in which order waiting steps are placed. Load: a peak that asks for several
 * times the capacity of a pool.
 * <p>
 * While a pool has free capacity for all its waiting tasks, they are placed by urgency,
 * priority of the queue and least slack, and nothing else is calculated. When it has not,
 * least slack would start each job as late as possible and so make all of them late
 * together. The jobs of such a pool are therefore ranked by {@link ValueInTime} within
 * their urgency and priority: first jobs in progress, then new ones that fit into the
 * capacity until their objectives, then the others. Of the late jobs, those whose result
 * still has a value come first, and the rest is served in the order of arrival.
 * <p>
 * The rank is only an order: no capacity is left unused for it. It is calculated anew in
 * each round, so a deferred job is chosen as soon as the pool has grown or other jobs
 * have ended. Hosts on their way to the pool count from the time at which they should
 * arrive.
 */
final class PlacementOrder {

	/** Tasks in progress are on average halfway through. */
	static final double RUNNING_SHARE = 0.5;

	private final DurationEstimator durations;

	private final SlackCalculator slackCalculator;

	private final int moveMillis;

	private final OrderRule rule;

	/**
	 * Creates the order.
	 * @param durations estimator for task durations
	 * @param moveMillis expected duration of a host move, in milliseconds
	 * @param rule how the jobs of a pool that lacks capacity are ranked
	 */
	PlacementOrder(DurationEstimator durations, int moveMillis, OrderRule rule) {
		this.durations = durations;
		this.slackCalculator = new SlackCalculator(durations);
		this.moveMillis = moveMillis;
		this.rule = rule;
	}

	/**
	 * Sorts the waiting steps of all pools.
	 * @param items steps with waiting tasks that are ready
	 * @param state replicated state
	 * @param choice runners of the pools
	 * @param wallMillis current time, in milliseconds since the epoch
	 * @return the steps in the order in which they are to be placed
	 */
	Result sort(List<WorkItem> items, BatchState state, RunnerChoice choice, long wallMillis) {
		Map<String, PoolSupply> shortPools = this.rule.isRanking() ? shortPools(items, state, choice, wallMillis)
				: Map.of();
		if (shortPools.isEmpty()) {
			return new Result(items.stream().sorted(WorkItem.ORDER).toList(), OrderFigures.NONE);
		}
		WorkspaceShares shares = WorkspaceShares.of(state.jobs(), state.configuration().orElseThrow());
		Map<Occurrence, Standing> standings = new HashMap<>();
		work(state, shortPools, wallMillis).forEach((pool, jobs) -> standings
			.putAll(this.rule.rank(jobs, new ValueInTime(shortPools.get(pool), wallMillis, shares::isBeyondWeight))));
		List<WorkItem> sorted = items.stream()
			.map((item) -> item.withStanding(standings.getOrDefault(item.occurrence(), Standing.UNRANKED)))
			.sorted(WorkItem.ORDER)
			.toList();
		return new Result(sorted, OrderFigures.of(shortPools.size(), standings.values()));
	}

	private Map<String, PoolSupply> shortPools(List<WorkItem> items, BatchState state, RunnerChoice choice,
			long wallMillis) {
		Map<String, Resources> waiting = new HashMap<>();
		for (WorkItem item : items) {
			waiting.merge(item.queue().pool(), item.tasks().spec().reserved().times(item.tasks().waitingCount()),
					Resources::plus);
		}
		Map<String, PoolSupply> shortPools = new HashMap<>();
		waiting.forEach((pool, demand) -> {
			PoolSupply supply = PoolSupply.of(choice.candidates(pool), arrivals(state, pool, wallMillis));
			if (!demand.fitsIn(supply.free())) {
				shortPools.put(pool, supply);
			}
		});
		return shortPools;
	}

	private List<Long> arrivals(BatchState state, String pool, long wallMillis) {
		return state.moves()
			.values()
			.stream()
			.filter((move) -> move.pool().equals(pool))
			.map((move) -> Math.max(0, state.lastHostOrderMillis(move.host()) + this.moveMillis - wallMillis))
			.toList();
	}

	private Map<String, List<JobWork>> work(BatchState state, Map<String, PoolSupply> pools, long wallMillis) {
		Map<String, List<JobWork>> work = new HashMap<>();
		for (BatchJob job : state.activeJobs()) {
			if (!job.spec().isLongRunning()) {
				job.configuredQueue()
					.filter((queue) -> pools.containsKey(queue.pool()))
					.ifPresent((queue) -> job.occurrences()
						.forEach((occurrence) -> work.computeIfAbsent(queue.pool(), (pool) -> new ArrayList<>())
							.add(work(job, queue, occurrence, pools.get(queue.pool()), wallMillis))));
			}
		}
		return work;
	}

	private JobWork work(BatchJob job, BatchQueue queue, Occurrence occurrence, PoolSupply pool, long wallMillis) {
		double running = 0;
		double waiting = 0;
		double total = 0;
		boolean isStarted = false;
		long remainingMillis = 0;
		SlackCalculator.StepChains chains = this.slackCalculator.chains(job);
		for (int number = 0; number < occurrence.steps().size(); number++) {
			StepTasks step = occurrence.steps().get(number);
			double taskWork = taskWork(job, step.spec(), pool);
			total += step.spec().taskCount() * taskWork;
			if (step.isDone()) {
				isStarted = true;
				continue;
			}
			remainingMillis = Math.max(remainingMillis, chains.remainingMillis(number));
			isStarted |= !step.areAllWaiting();
			waiting += step.waitingCount() * taskWork;
			running += RUNNING_SHARE * step.runningCount() * taskWork;
		}
		long objectiveMillis = this.slackCalculator.objectiveMillis(job, queue, occurrence, chains);
		return new JobWork(job, queue, occurrence, objectiveMillis, this.slackCalculator.latencyMillis(queue, chains),
				objectiveMillis - wallMillis - remainingMillis, isStarted, running, waiting, total);
	}

	private double taskWork(BatchJob job, StepSpec step, PoolSupply pool) {
		return pool.millicoresOf(step.reserved())
				* this.durations.estimateMillis(job.address().orElseThrow(), step.estimatedMillis());
	}

	/**
	 * Steps in the order in which they are to be placed.
	 *
	 * @param items the steps
	 * @param figures how many jobs were ranked
	 */
	record Result(List<WorkItem> items, OrderFigures figures) {

	}

}
