package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * Simulates the placement rounds of one pool in virtual time, with two queues and several
 * workspaces whose demand is given as a multiple of the capacity of the pool. The pool
 * may grow during the load. Estimates of durations are inaccurate, three tasks in a
 * hundred take seven times as long, and commits and messages take some milliseconds.
 */
final class OverloadSimulation {

	private static final long START_MILLIS = 10_000_000;

	private static final int ROUND_MILLIS = 15;

	/** Time from a plan to the start of its tasks. */
	private static final int START_DELAY_MILLIS = 18;

	/** Time from the end of a task to its commit. */
	private static final int END_DELAY_MILLIS = 18;

	private static final int MOVE_MILLIS = 1_500;

	private static final Resources HOST = new Resources(32_000, 131_072, 0);

	private static final double TASK_MILLICORES = 3_100;

	private static final double TASK_MEBIBYTES = 8_800;

	private static final double TASK_MILLIS = 1_000;

	private static final double MEAN_STEPS = 1.6;

	private static final double MEAN_TASKS = 8;

	private static final double STRETCH = 1.6;

	private static final int TARGET_MILLIS = 600;

	private static final double SLOW_SHARE = 0.03;

	private static final int SLOW_FACTOR = 7;

	private final Load load;

	private final long seed;

	private final Random random;

	private final BatchState state = new BatchState();

	private final TaskPlanner planner;

	private final DurationEstimator durations = new DurationEstimator();

	private final List<RunnerRecord> runners = new ArrayList<>();

	private final Map<String, Long> lastEnd = new HashMap<>();

	private final PriorityQueue<Ending> endings = new PriorityQueue<>(Comparator.comparingLong(Ending::atMillis)
		.thenComparing((ending) -> ending.assignment().task().toString()));

	private final Map<String, JobTimes> jobs = new LinkedHashMap<>();

	private long nowMillis = START_MILLIS;

	OverloadSimulation(Load load, OrderRule rule, long seed) {
		this.load = load;
		this.seed = seed;
		this.random = new Random(seed);
		this.planner = new TaskPlanner(this.durations, MOVE_MILLIS + 200, rule);
		List<BatchQueue> queues = new ArrayList<>();
		List<Workspace> workspaces = new ArrayList<>();
		for (int queue = 0; queue < load.queues(); queue++) {
			queues.add(new BatchQueue("queue" + queue, "host", "/queue" + queue + "/", false, "pool", 0, 2, 3_000,
					TARGET_MILLIS, STRETCH));
		}
		for (int workspace = 0; workspace < load.workspaces(); workspace++) {
			workspaces.add(new Workspace("team" + workspace, Set.of("key" + workspace), load.weight(), Resources.NONE));
		}
		apply(new BatchCommand.SetConfiguration(new FleetConfiguration(1, queues,
				List.of(new BatchPool("pool", false, false)), workspaces, Payload.EMPTY)));
		addHosts(load.hosts());
	}

	OverloadSimulation run() {
		while (this.nowMillis < START_MILLIS + this.load.millis() || hasActiveJobs()) {
			long elapsedMillis = this.nowMillis - START_MILLIS;
			if (elapsedMillis / ROUND_MILLIS == (this.load.growthMillis() - MOVE_MILLIS) / ROUND_MILLIS) {
				moveHosts(MovePhase.ORDERED);
			}
			if (elapsedMillis / ROUND_MILLIS == this.load.growthMillis() / ROUND_MILLIS) {
				moveHosts(MovePhase.OVER);
				addHosts(this.load.addedHosts());
			}
			if (elapsedMillis < this.load.millis()) {
				submit((double) elapsedMillis / this.load.millis());
			}
			endRuns();
			List<BatchCommand.Assignment> assignments = this.planner
				.plan(this.state, this.runners, Set.of(), (runner) -> RunnerReliability.SOUND, this.nowMillis)
				.assignments();
			if (!assignments.isEmpty()) {
				apply(new BatchCommand.AssignRuns(assignments));
				assignments.forEach(this::start);
			}
			this.nowMillis += ROUND_MILLIS;
		}
		return this;
	}

	/** Returns the value of the results in time as a share of all jobs. */
	double valueInTime() {
		return shareInTime(this.jobs.values(), JobTimes::value);
	}

	double valueInTime(Predicate<JobTimes> filter) {
		return shareInTime(this.jobs.values().stream().filter(filter).toList(), JobTimes::value);
	}

	/** Returns the number of jobs in time as a share of all jobs. */
	double jobsInTime() {
		return shareInTime(this.jobs.values(), (job) -> 1);
	}

	double jobsInTime(Predicate<JobTimes> filter) {
		return shareInTime(this.jobs.values().stream().filter(filter).toList(), (job) -> 1);
	}

	/**
	 * Returns the share of the jobs in time among those whose rank by work is within a
	 * range.
	 * @param from lower end of the range, as a share of all jobs
	 * @param to upper end of the range
	 */
	double jobsInTimeBySize(double from, double to) {
		List<JobTimes> sorted = this.jobs.values().stream().sorted(Comparator.comparingDouble(JobTimes::work)).toList();
		int size = sorted.size();
		return shareInTime(sorted.subList((int) (from * size), (int) (to * size)), (job) -> 1);
	}

	int completedCount() {
		return (int) this.jobs.values().stream().filter((job) -> job.endMillis() > 0).count();
	}

	int jobCount() {
		return this.jobs.size();
	}

	private static double shareInTime(Collection<JobTimes> jobs, java.util.function.ToDoubleFunction<JobTimes> weight) {
		double total = 0;
		double inTime = 0;
		for (JobTimes job : jobs) {
			total += weight.applyAsDouble(job);
			inTime += job.isInTime() ? weight.applyAsDouble(job) : 0;
		}
		return inTime / total;
	}

	private boolean hasActiveJobs() {
		return !this.state.activeJobs().isEmpty() && this.nowMillis < START_MILLIS + 4 * this.load.millis();
	}

	private void submit(double share) {
		double capacity = (double) this.load.hosts() * HOST.cpuMillicores();
		double jobMillicoreMillis = MEAN_STEPS * MEAN_TASKS * TASK_MILLIS * TASK_MILLICORES;
		double perRound = this.load.demand().applyAsDouble(share) * capacity * ROUND_MILLIS / jobMillicoreMillis;
		int count = (int) perRound + ((this.random.nextDouble() < perRound % 1) ? 1 : 0);
		for (int number = 0; number < count; number++) {
			submitJob();
		}
	}

	private void submitJob() {
		int queue = this.random.nextInt(this.load.queues());
		int workspace = this.load.workspaceOf(this.random.nextDouble());
		String id = "job" + this.jobs.size();
		int cpuMillicores = (int) sampleLogNormal(TASK_MILLICORES, 0.45, 3);
		int mebibytes = (int) sampleLogNormal(TASK_MEBIBYTES, 0.4, 3);
		int stepCount = (this.random.nextDouble() < MEAN_STEPS - 1) ? 2 : 1;
		List<StepSpec> steps = new ArrayList<>();
		List<Long> stepMillis = new ArrayList<>();
		double chainMillis = 0;
		double work = 0;
		for (int step = 0; step < stepCount; step++) {
			int width = (int) Math.max(1, sampleLogNormal(MEAN_TASKS, 0.6, 4));
			long millis = (long) sampleLogNormal(TASK_MILLIS, 0.5, 2.5);
			chainMillis += millis;
			work += (double) width * millis * cpuMillicores;
			stepMillis.add(millis);
			steps.add(new StepSpec(width, new Resources(cpuMillicores, mebibytes, 0),
					(int) sampleLogNormal(millis, 0.2, 3), (step == 0) ? List.of() : List.of(step - 1), false, false,
					false, Optional.empty(), Optional.empty(), OptionalInt.empty(), false, false, Optional.empty(),
					OptionalInt.empty(), false, 0));
		}
		double meanWork = MEAN_STEPS * MEAN_TASKS * TASK_MILLIS * TASK_MILLICORES;
		this.jobs.put(id, new JobTimes(queue, workspace, stepMillis, work, Math.min(4, 0.3 + 0.7 * work / meanWork),
				this.nowMillis, this.nowMillis + (long) (STRETCH * chainMillis) + TARGET_MILLIS, 0));
		this.state.apply(new CommandGroup(this.nowMillis, List
			.of(BatchFixtures.submit(id, "queue" + queue, "team" + workspace, new JobSpec(id, steps, 0, 0, 0)))));
	}

	private void start(BatchCommand.Assignment assignment) {
		long millis = this.jobs.get(assignment.task().job()).stepMillis().get(assignment.task().step());
		// Independent of the order of the starts, so that all rules have the same load.
		boolean isSlow = new SplittableRandom(this.seed * 31 + assignment.task().hashCode()).nextDouble() < SLOW_SHARE;
		this.endings.add(new Ending(this.nowMillis,
				this.nowMillis + START_DELAY_MILLIS + END_DELAY_MILLIS + (isSlow ? SLOW_FACTOR : 1) * millis,
				assignment));
	}

	private void endRuns() {
		while (!this.endings.isEmpty() && this.endings.peek().atMillis() <= this.nowMillis) {
			Ending ending = this.endings.remove();
			BatchCommand.Assignment assignment = ending.assignment();
			long number = this.lastEnd.merge(assignment.runner().id(), 1L, Long::sum);
			apply(new BatchCommand.NoteEnds(assignment.runner(),
					List.of(new BatchCommand.End(number, assignment.task(), assignment.run(), RunOutcome.DONE, "")),
					List.of()));
			this.state.job(assignment.task().job()).ifPresent((job) -> {
				this.durations.addSample(job.address().get(),
						job.spec().steps().get(assignment.task().step()).estimatedMillis(),
						ending.atMillis() - ending.assignedMillis());
				if (job.phase() == BatchJobPhase.COMPLETED) {
					this.jobs.computeIfPresent(job.id(), (id, times) -> times.endingAt(ending.atMillis()));
				}
			});
		}
	}

	private void moveHosts(MovePhase phase) {
		for (int number = 0; number < this.load.addedHosts(); number++) {
			apply(new BatchCommand.SetMove("host-runner" + (this.load.hosts() + number), "pool", phase));
		}
	}

	private void addHosts(int count) {
		for (int number = 0; number < count; number++) {
			String id = "runner" + this.runners.size();
			RunnerRecord runner = new RunnerRecord(new RunnerKey(id, 1), Optional.of("host-" + id), "pool",
					"127.0.0.1:1", "dc1", Optional.of("rack"), HOST, Set.of(), false);
			this.runners.add(runner);
			apply(BatchFixtures.register(runner));
		}
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(this.nowMillis, List.of(command)));
	}

	private double sampleLogNormal(double mean, double sigma, double maximumFactor) {
		double sample = mean * Math.exp(sigma * this.random.nextGaussian() - sigma * sigma / 2);
		return Math.min(maximumFactor * mean, sample);
	}

	/**
	 * Load of a pool.
	 *
	 * @param hosts hosts at the start
	 * @param addedHosts hosts that arrive during the load
	 * @param growthMillis when they arrive, from the start
	 * @param millis duration of the load
	 * @param queues number of queues
	 * @param workspaces number of workspaces
	 * @param weight weight of each workspace
	 * @param firstWorkspaceShare share of the jobs that the first workspace submits
	 * @param demand demand as a multiple of the capacity at the start, by the elapsed
	 * share of the duration
	 */
	record Load(int hosts, int addedHosts, int growthMillis, int millis, int queues, int workspaces, int weight,
			double firstWorkspaceShare, DoubleUnaryOperator demand) {

		static Load of(int millis, DoubleUnaryOperator demand) {
			return new Load(25, 0, 0, millis, 2, 4, 1, 0.25, demand);
		}

		Load growing(int hosts, int afterMillis) {
			return new Load(this.hosts, hosts, afterMillis, this.millis, this.queues, this.workspaces, this.weight,
					this.firstWorkspaceShare, this.demand);
		}

		Load withWorkspaces(int count, int newWeight, double firstShare) {
			return new Load(this.hosts, this.addedHosts, this.growthMillis, this.millis, this.queues, count, newWeight,
					firstShare, this.demand);
		}

		private int workspaceOf(double sample) {
			return (sample < this.firstWorkspaceShare) ? 0 : 1 + (int) ((sample - this.firstWorkspaceShare)
					/ (1 - this.firstWorkspaceShare) * (this.workspaces - 1));
		}

	}

	/** Durations, objective and end time of a job. */
	record JobTimes(int queue, int workspace, List<Long> stepMillis, double work, double value, long acceptedMillis,
			long objectiveMillis, long endMillis) {

		boolean isInTime() {
			return this.endMillis > 0 && this.endMillis <= this.objectiveMillis;
		}

		private JobTimes endingAt(long millis) {
			return new JobTimes(this.queue, this.workspace, this.stepMillis, this.work, this.value, this.acceptedMillis,
					this.objectiveMillis, millis);
		}

	}

	/** Time at which the end of a run is known. */
	private record Ending(long assignedMillis, long atMillis, BatchCommand.Assignment assignment) {

	}

}
