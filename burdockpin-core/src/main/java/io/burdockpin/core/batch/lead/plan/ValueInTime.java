package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.Occurrence;

/**
 * Chooses which jobs of a pool are to be in time when the pool cannot serve all of them.
 * Load: a demand peak of several times the capacity, in which serving all jobs alike
 * makes all of them late together.
 * <p>
 * Jobs are added in the order of their slack, in which they will be placed (the weighted
 * method of Moore and Hodgson; in the order of objectives fewer jobs were in time). Where
 * the work exceeds what the pool can do until the objective of the added job, the job
 * that needs the most capacity for its value is deferred. Jobs in progress are not
 * deferred, since the capacity that they have used would be lost. A job that has used up
 * much of its slack is deferred less readily than its work alone would have it, so that
 * large jobs are served as well. Jobs of a higher priority, and within a priority those
 * within the weight of their workspace, are chosen before the others.
 */
final class ValueInTime {

	/**
	 * Tasks of different sizes leave gaps on the runners, and tasks are assigned and
	 * their ends reported a few tens of milliseconds late.
	 */
	private static final double USABLE_SHARE = 0.9;

	/** Part of the value of a job that does not depend on its work. */
	private static final double BASE_VALUE = 0.3;

	private static final double WORK_VALUE = 0.7;

	private static final double MAXIMUM_VALUE = 4;

	/** Share of the cost of a job that is left when all its slack is used up. */
	private static final double AGED_SHARE = 0.5;

	private final PoolSupply supply;

	private final long wallMillis;

	private final Predicate<BatchJob> isBeyondWeight;

	/**
	 * Creates the choice for one pool.
	 * @param supply capacity of the pool
	 * @param wallMillis current time, in milliseconds since the epoch
	 * @param isBeyondWeight whether a job was submitted beyond the weight of its
	 * workspace
	 */
	ValueInTime(PoolSupply supply, long wallMillis, Predicate<BatchJob> isBeyondWeight) {
		this.supply = supply;
		this.wallMillis = wallMillis;
		this.isBeyondWeight = isBeyondWeight;
	}

	/**
	 * Ranks the jobs of the pool.
	 * @param jobs all active finite jobs of the pool, also those without waiting tasks
	 * @return standing of each job
	 */
	Map<Occurrence, Standing> rank(Collection<JobWork> jobs) {
		Map<QueueAddress, Double> meanWork = meanWork(jobs);
		Map<Occurrence, Standing> standings = new HashMap<>();
		Map<Integer, Level> byPriority = new TreeMap<>();
		double load = 0;
		for (JobWork job : jobs) {
			if (job.isLate()) {
				standings.put(job.occurrence(), job.earns() ? Standing.EARNING : Standing.WORTHLESS);
				load += job.runningWork();
			}
			else {
				byPriority.computeIfAbsent(job.queue().priority(), (priority) -> new Level())
					.add(job, this.isBeyondWeight);
			}
		}
		for (Level level : byPriority.values()) {
			// They are placed before the new ones, whatever their objectives are.
			for (JobWork job : level.started) {
				standings.put(job.occurrence(), Standing.STARTED);
				load += job.remainingWork();
			}
			load = choose(level.within, load, Standing.CHOSEN, Standing.DEFERRED, meanWork, standings);
			load = choose(level.beyond, load, Standing.CHOSEN_BEYOND_WEIGHT, Standing.DEFERRED_BEYOND_WEIGHT, meanWork,
					standings);
		}
		return standings;
	}

	private double choose(List<JobWork> jobs, double loadBefore, Standing chosen, Standing deferred,
			Map<QueueAddress, Double> meanWork, Map<Occurrence, Standing> standings) {
		jobs.sort(Comparator.comparingLong(JobWork::slackMillis).thenComparing((job) -> job.job().id()));
		PriorityQueue<Deferrable> deferrable = new PriorityQueue<>(
				Comparator.comparingDouble(Deferrable::cost).reversed());
		double load = loadBefore;
		for (JobWork job : jobs) {
			load += job.remainingWork();
			standings.put(job.occurrence(), chosen);
			deferrable.add(new Deferrable(job, cost(job, meanWork)));
			double possible = USABLE_SHARE * this.supply.workWithin(job.objectiveMillis() - this.wallMillis);
			while (load > possible && !deferrable.isEmpty()) {
				JobWork removed = deferrable.remove().job();
				load -= removed.remainingWork();
				standings.put(removed.occurrence(), deferred);
			}
		}
		return load;
	}

	private double cost(JobWork job, Map<QueueAddress, Double> meanWork) {
		double relativeWork = job.totalWork() / Math.max(1, meanWork.get(job.queue().address()));
		double value = Math.min(MAXIMUM_VALUE, BASE_VALUE + WORK_VALUE * relativeWork);
		return job.remainingWork() / value * (1 - (1 - AGED_SHARE) * job.usedSlack(this.wallMillis));
	}

	private static Map<QueueAddress, Double> meanWork(Collection<JobWork> jobs) {
		Map<QueueAddress, List<JobWork>> byQueue = new HashMap<>();
		jobs.forEach((job) -> byQueue.computeIfAbsent(job.queue().address(), (queue) -> new ArrayList<>()).add(job));
		Map<QueueAddress, Double> means = new HashMap<>();
		byQueue.forEach(
				(queue, list) -> means.put(queue, list.stream().mapToDouble(JobWork::totalWork).average().orElse(0)));
		return means;
	}

	/** Jobs of one priority that can be in time. */
	private static final class Level {

		private final List<JobWork> started = new ArrayList<>();

		private final List<JobWork> within = new ArrayList<>();

		private final List<JobWork> beyond = new ArrayList<>();

		private void add(JobWork job, Predicate<BatchJob> isBeyondWeight) {
			if (job.started()) {
				this.started.add(job);
			}
			else {
				(isBeyondWeight.test(job.job()) ? this.beyond : this.within).add(job);
			}
		}

	}

	/**
	 * New job that may be deferred.
	 *
	 * @param job the job
	 * @param cost capacity that it needs for its value
	 */
	private record Deferrable(JobWork job, double cost) {

	}

}
