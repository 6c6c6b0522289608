package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.lead.place.PlacementWaits;
import io.burdockpin.core.batch.lead.place.RunnerChoice;
import io.burdockpin.core.batch.lead.pool.PoolDemand;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * Assigns waiting tasks to runners: first tasks that can still meet their objective, by
 * priority and slack, then long-running steps up to a share of the pool, then late tasks.
 * {@link PlacementOrder} decides which jobs come first in a pool that lacks capacity,
 * {@link PlacementRound} places them one after the other, and {@link RunnerChoice}
 * chooses a runner for each task.
 */
public final class TaskPlanner {

	/**
	 * Limits the size of a log entry to about 50 KiB. A demand peak in a large fleet
	 * leaves about 500 tasks waiting, and a round takes about 100 ms under load.
	 */
	private static final int MAXIMUM_ASSIGNMENTS = 512;

	/**
	 * Long-running tasks run for minutes and can rarely be stopped, so the rest of a pool
	 * is reserved for the demand peaks of its queues. {@link PoolDemand} includes this
	 * share when it calculates the required hosts.
	 */
	public static final double LONG_RUNNING_SHARE = 0.75;

	/**
	 * A pool with less in use has no other tasks for which its free capacity should wait.
	 */
	private static final double UNDERUSED_SHARE = 0.5;

	/** A pool gets the hosts for a new long-running step within this time, if it can. */
	private static final long POOL_GROWTH_MILLIS = 5_000;

	private final SlackCalculator slackCalculator;

	private final PlacementOrder order;

	private final PlacementWaits waits;

	/**
	 * Creates a planner under which no task waits for a better place.
	 * @param durations estimator for task durations
	 * @param moveMillis expected duration of a host move, in milliseconds
	 */
	public TaskPlanner(DurationEstimator durations, int moveMillis) {
		this(durations, moveMillis, OrderRule.VALUE_IN_TIME, PlacementWaits.none());
	}

	TaskPlanner(DurationEstimator durations, int moveMillis, OrderRule rule) {
		this(durations, moveMillis, rule, PlacementWaits.none());
	}

	/**
	 * Creates a planner.
	 * @param durations estimator for task durations
	 * @param moveMillis expected duration of a host move, in milliseconds
	 * @param rule how the jobs of a pool that lacks capacity are ranked
	 * @param waits waits for better places, which each round updates
	 */
	public TaskPlanner(DurationEstimator durations, int moveMillis, OrderRule rule, PlacementWaits waits) {
		this.waits = waits;
		this.slackCalculator = new SlackCalculator(durations);
		this.order = new PlacementOrder(durations, moveMillis, rule);
	}

	/**
	 * Plans one placement round.
	 * @param state replicated state
	 * @param runners runners that accept new tasks
	 * @param drainedRunners runners whose tasks are stopped for maintenance, as far as
	 * the steps permit
	 * @param reliability returns the reliability of a runner
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return the assignments and the pools that lack capacity
	 */
	public Plan plan(BatchState state, List<RunnerRecord> runners, Set<RunnerKey> drainedRunners,
			Function<RunnerKey, RunnerReliability> reliability, long wallMillis) {
		if (state.configuration().isEmpty()) {
			return Plan.EMPTY;
		}
		FleetConfiguration configuration = state.configuration().get();
		List<Candidate> candidates = candidates(state, runners, reliability);
		RunnerChoice choice = new RunnerChoice(candidates,
				(candidate) -> state.hasUnfinishedMaintenance(candidate.runner().hostOrId()));
		AssignmentRound round = new AssignmentRound(state, configuration, choice, this.slackCalculator.durations(),
				this.waits, wallMillis);
		PlacementOrder.Result order = this.order.sort(items(state, choice, wallMillis), state, choice, wallMillis);
		for (WorkItem item : order.items()) {
			if (round.assignmentCount() >= MAXIMUM_ASSIGNMENTS) {
				break;
			}
			round.place(item);
		}
		if (!drainedRunners.isEmpty()) {
			state.activeJobs()
				.stream()
				.filter((job) -> job.spec().isLongRunning())
				.forEach((job) -> job.configuredQueue()
					.ifPresent((queue) -> reserveForRestarts(round, job, queue, drainedRunners)));
		}
		return round.plan(candidates, order);
	}

	/**
	 * Returns runners with their present capacity.
	 * @param state replicated state
	 * @param runners runners that accept new tasks
	 * @param reliability returns the reliability of a runner
	 * @return one candidate for each runner, in the same order
	 */
	public static List<Candidate> candidates(BatchState state, List<RunnerRecord> runners,
			Function<RunnerKey, RunnerReliability> reliability) {
		List<Candidate> candidates = new ArrayList<>(runners.size());
		for (RunnerRecord runner : runners) {
			candidates.add(new Candidate(runner, state.runs().reservedOn(runner.key()),
					state.runs().longRunningOn(runner.key()), reliability.apply(runner.key())));
		}
		return candidates;
	}

	// A task that is stopped for maintenance is away until it runs on another host. The
	// next task of the step can only be stopped seconds later if the pool has to get that
	// host first.
	private void reserveForRestarts(AssignmentRound round, BatchJob job, BatchQueue queue,
			Set<RunnerKey> drainedRunners) {
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				List<BatchTask> leaving = step.changedTasks()
					.stream()
					.filter((task) -> task.run().filter((run) -> drainedRunners.contains(run.runner())).isPresent())
					.limit((step.spec().maximumAway() > 0) ? step.spec().maximumAway() : Long.MAX_VALUE)
					.toList();
				if (!leaving.isEmpty()) {
					round.reserveForRestarts(new WorkItem(job, queue, occurrence, number, step,
							WorkItem.Urgency.RESTORE, 0, Standing.UNRANKED), leaving);
				}
			}
		}
	}

	private List<WorkItem> items(BatchState state, RunnerChoice choice, long wallMillis) {
		List<WorkItem> items = new ArrayList<>();
		state.activeJobs()
			.forEach((job) -> job.configuredQueue()
				.filter((queue) -> !choice.candidates(queue.pool()).isEmpty())
				.ifPresent((queue) -> addItems(items, job, queue, choice, wallMillis)));
		return items;
	}

	private void addItems(List<WorkItem> items, BatchJob job, BatchQueue queue, RunnerChoice choice, long wallMillis) {
		SlackCalculator.StepChains chains = this.slackCalculator.chains(job);
		for (Occurrence occurrence : job.occurrences()) {
			List<StepTasks> steps = occurrence.steps();
			for (int number = 0; number < steps.size(); number++) {
				StepTasks step = steps.get(number);
				if (step.waitingCount() > 0 && occurrence.isReady(number)) {
					items.add(item(job, queue, occurrence, chains, number, choice, wallMillis));
				}
			}
		}
	}

	private WorkItem item(BatchJob job, BatchQueue queue, Occurrence occurrence, SlackCalculator.StepChains chains,
			int step, RunnerChoice choice, long wallMillis) {
		long slackMillis = this.slackCalculator.slackMillis(job, queue, occurrence, chains, step, wallMillis);
		StepTasks tasks = occurrence.steps().get(step);
		boolean hasWaited = wallMillis - job.acceptedMillis() >= POOL_GROWTH_MILLIS;
		WorkItem.Urgency urgency = tasks.spec().longRunning() ? longRunningUrgency(tasks, queue, hasWaited, choice)
				: finiteUrgency(slackMillis);
		return new WorkItem(job, queue, occurrence, step, tasks, urgency, slackMillis, Standing.UNRANKED);
	}

	private static WorkItem.Urgency finiteUrgency(long slackMillis) {
		return (slackMillis >= 0) ? WorkItem.Urgency.IN_TIME : WorkItem.Urgency.LATE;
	}

	private static WorkItem.Urgency longRunningUrgency(StepTasks tasks, BatchQueue queue, boolean hasWaited,
			RunnerChoice choice) {
		boolean isRestored = hasBeenStarted(tasks) || (hasWaited && isUnderused(choice.candidates(queue.pool())));
		return isRestored ? WorkItem.Urgency.RESTORE : WorkItem.Urgency.LONG_RUNNING;
	}

	// A step that has lost all its tasks, for example with a single host, has been
	// started.
	private static boolean hasBeenStarted(StepTasks tasks) {
		return tasks.highestRun() > 0;
	}

	private static boolean isUnderused(List<Candidate> pool) {
		Resources capacity = Resources.NONE;
		Resources free = Resources.NONE;
		for (Candidate candidate : pool) {
			capacity = capacity.plus(candidate.runner().capacity());
			free = free.plus(candidate.free());
		}
		Resources used = capacity.minus(free);
		return used.cpuMillicores() < UNDERUSED_SHARE * capacity.cpuMillicores()
				&& used.memoryMebibytes() < UNDERUSED_SHARE * capacity.memoryMebibytes();
	}

}
