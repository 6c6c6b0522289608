package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.lead.place.JobPlaces;
import io.burdockpin.core.batch.lead.place.PlaceRequest;
import io.burdockpin.core.batch.lead.place.PlacementLimit;
import io.burdockpin.core.batch.lead.place.PlacementRound;
import io.burdockpin.core.batch.lead.place.PlacementWaits;
import io.burdockpin.core.batch.lead.place.RunnerChoice;
import io.burdockpin.core.batch.lead.place.WaitingTask;
import io.burdockpin.core.batch.lead.pool.PoolDemand;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * Assigns waiting tasks to runners: first tasks that can still meet their objective, by
 * priority and slack, then long-running steps up to a share of the pool, then late tasks.
 * Long-running tasks are packed onto few hosts, so that the others can be moved, and
 * avoid hosts that have yet to be maintained. Never exceeds the capacity of a runner or
 * the limit of a workspace.
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

	private final PlacementWaits waits;

	/**
	 * Creates a planner under which no task waits for a better place.
	 * @param durations estimator for task durations
	 */
	public TaskPlanner(DurationEstimator durations) {
		this(durations, PlacementWaits.none());
	}

	/**
	 * Creates a planner.
	 * @param durations estimator for task durations
	 * @param waits waits for better places, which each round updates
	 */
	public TaskPlanner(DurationEstimator durations, PlacementWaits waits) {
		this.slackCalculator = new SlackCalculator(durations);
		this.waits = waits;
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
		Round round = new Round(state, configuration, candidates, this.slackCalculator.durations(), this.waits,
				wallMillis);
		List<WorkItem> items = new ArrayList<>();
		state.activeJobs()
			.forEach((job) -> job.configuredQueue()
				.filter((queue) -> round.hasCandidates(queue.pool()))
				.ifPresent((queue) -> addItems(items, job, queue, round, wallMillis)));
		items.sort(WorkItem.ORDER);
		for (WorkItem item : items) {
			if (round.assignments.size() >= MAXIMUM_ASSIGNMENTS) {
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
		return new Plan(round.assignments, round.poolsLackingCapacity, round.runnersForRestarts, candidates);
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
	private void reserveForRestarts(Round round, BatchJob job, BatchQueue queue, Set<RunnerKey> drainedRunners) {
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				List<BatchTask> leaving = step.tasks()
					.stream()
					.filter((task) -> task.run().filter((run) -> drainedRunners.contains(run.runner())).isPresent())
					.limit((step.spec().maximumAway() > 0) ? step.spec().maximumAway() : Long.MAX_VALUE)
					.toList();
				if (!leaving.isEmpty()) {
					round.reserveForRestarts(
							new WorkItem(job, queue, occurrence, number, step, WorkItem.Urgency.RESTORE, 0), leaving);
				}
			}
		}
	}

	private void addItems(List<WorkItem> items, BatchJob job, BatchQueue queue, Round round, long wallMillis) {
		for (Occurrence occurrence : job.occurrences()) {
			List<StepTasks> steps = occurrence.steps();
			for (int number = 0; number < steps.size(); number++) {
				StepTasks step = steps.get(number);
				boolean isWaiting = !step.isDone() && step.tasks().stream().anyMatch(BatchTask::isWaiting);
				if (isWaiting && occurrence.isReady(number)) {
					items.add(item(job, queue, occurrence, number, round, wallMillis));
				}
			}
		}
	}

	private WorkItem item(BatchJob job, BatchQueue queue, Occurrence occurrence, int step, Round round,
			long wallMillis) {
		long slackMillis = this.slackCalculator.slackMillis(job, queue, occurrence, step, wallMillis);
		StepTasks tasks = occurrence.steps().get(step);
		boolean hasWaited = wallMillis - job.acceptedMillis() >= POOL_GROWTH_MILLIS;
		WorkItem.Urgency urgency = tasks.spec().longRunning() ? longRunningUrgency(tasks, queue, hasWaited, round)
				: finiteUrgency(slackMillis);
		return new WorkItem(job, queue, occurrence, step, tasks, urgency, slackMillis);
	}

	private static WorkItem.Urgency finiteUrgency(long slackMillis) {
		return (slackMillis >= 0) ? WorkItem.Urgency.IN_TIME : WorkItem.Urgency.LATE;
	}

	private static WorkItem.Urgency longRunningUrgency(StepTasks tasks, BatchQueue queue, boolean hasWaited,
			Round round) {
		boolean isRestored = hasBeenStarted(tasks) || (hasWaited && round.isUnderused(queue.pool()));
		return isRestored ? WorkItem.Urgency.RESTORE : WorkItem.Urgency.LONG_RUNNING;
	}

	// A step that has lost all its tasks, for example with a single host, has been
	// started.
	private static boolean hasBeenStarted(StepTasks tasks) {
		return tasks.highestRun() > 0;
	}

	/** State of one placement round. */
	private static final class Round {

		private final BatchState state;

		private final FleetConfiguration configuration;

		private final DurationEstimator durations;

		private final RunnerChoice runnerChoice;

		private final PlacementRound placement;

		private final Map<String, Resources> chargedByWorkspace = new HashMap<>();

		private final List<BatchCommand.Assignment> assignments = new ArrayList<>();

		private final Set<String> poolsLackingCapacity = new HashSet<>();

		private final Set<RunnerKey> runnersForRestarts = new HashSet<>();

		private Round(BatchState state, FleetConfiguration configuration, List<Candidate> candidates,
				DurationEstimator durations, PlacementWaits waits, long wallMillis) {
			this.state = state;
			this.configuration = configuration;
			this.durations = durations;
			this.runnerChoice = new RunnerChoice(candidates,
					(candidate) -> state.hasUnfinishedMaintenance(candidate.runner().hostOrId()));
			this.placement = waits.beginRound(state, this.runnerChoice, wallMillis);
		}

		private boolean hasCandidates(String pool) {
			return !this.runnerChoice.candidates(pool).isEmpty();
		}

		private boolean isUnderused(String pool) {
			Resources capacity = Resources.NONE;
			Resources free = Resources.NONE;
			for (Candidate candidate : this.runnerChoice.candidates(pool)) {
				capacity = capacity.plus(candidate.runner().capacity());
				free = free.plus(candidate.free());
			}
			Resources used = capacity.minus(free);
			return used.cpuMillicores() < UNDERUSED_SHARE * capacity.cpuMillicores()
					&& used.memoryMebibytes() < UNDERUSED_SHARE * capacity.memoryMebibytes();
		}

		private void place(WorkItem item) {
			this.placement.observer()
				.onTurn(new TaskId(item.job().id(), item.occurrence().number(), item.step(), 0), item.queue().pool());
			JobPlaces places = JobPlaces.of(this.state, item.job(), item.tasks());
			if (item.tasks().spec().gang() || item.urgency() == WorkItem.Urgency.LONG_RUNNING) {
				placeTogether(item, places);
			}
			else {
				placeTasks(item, places);
			}
		}

		private void placeTasks(WorkItem item, JobPlaces places) {
			List<BatchTask> tasks = item.tasks().tasks();
			for (int index = 0; index < tasks.size(); index++) {
				BatchTask task = tasks.get(index);
				if (task.isWaiting()) {
					WaitingTask waiting = item.waitingTask(index, 1, task.lastRun() + 1, places, this.durations);
					Optional<Candidate> chosen = choose(item, waiting.request(), Optional.empty(), (candidate) -> true);
					if (chosen.isEmpty()) {
						return;
					}
					if (this.placement.decide(waiting, chosen.get()).reason().starts()) {
						assign(item, waiting, chosen.get());
					}
				}
			}
		}

		// The members of a gang are started together or not at all. The same applies to
		// the tasks of a long-running step.
		private void placeTogether(WorkItem item, JobPlaces places) {
			StepTasks step = item.tasks();
			if (!step.tasks().stream().allMatch(BatchTask::isWaiting)) {
				return;
			}
			int run = step.highestRun() + 1;
			WaitingTask first = item.waitingTask(0, step.tasks().size(), run, places, this.durations);
			List<Candidate> members = chooseTogether(item, first, places);
			boolean starts = members.size() == step.tasks().size()
					&& (!step.spec().gang() || this.placement.decideGang(first, members).reason().starts());
			for (int index = 0; starts && index < members.size(); index++) {
				assign(item, item.waitingTask(index, 1, run, places, this.durations), members.get(index));
			}
		}

		// The capacity of the chosen runners is given back, so that a gang that waits
		// does not reserve it.
		private List<Candidate> chooseTogether(WorkItem item, WaitingTask first, JobPlaces places) {
			StepSpec spec = item.tasks().spec();
			List<Candidate> taken = new ArrayList<>();
			Optional<String> wholeRack = Optional.empty();
			Optional<String> rack = Optional.empty();
			for (int index = 0; index < first.count(); index++) {
				PlaceRequest request = item.waitingTask(index, 1, first.run(), places, this.durations).request();
				Optional<String> only = wholeRack;
				Optional<Candidate> chosen = choose(item, request, rack,
						(candidate) -> only.isEmpty() || only.equals(candidate.runner().rack()));
				if (index == 0 && chosen.isPresent() && spec.gang()) {
					wholeRack = this.placement.rackForGang(request, first.count(), chosen.get().runner().rack());
					Optional<String> gangRack = wholeRack;
					chosen = wholeRack.isEmpty() ? chosen : choose(item, request, wholeRack,
							(candidate) -> gangRack.equals(candidate.runner().rack()));
				}
				if (chosen.isEmpty()) {
					break;
				}
				take(item, chosen.get(), places);
				taken.add(chosen.get());
				rack = spec.sameRack() ? chosen.get().runner().rack() : Optional.empty();
			}
			taken.forEach((candidate) -> giveBack(item, candidate, places));
			return taken;
		}

		private void reserveForRestarts(WorkItem item, List<BatchTask> leaving) {
			JobPlaces places = JobPlaces.of(this.state, item.job(), item.tasks());
			for (BatchTask task : leaving) {
				Optional<Candidate> chosen = find(item, item.request(task, places), Optional.empty(),
						(candidate) -> !this.runnerChoice.isMaintenanceDue(candidate));
				if (chosen.isEmpty()) {
					return;
				}
				chosen.get().reserve(item.tasks().spec());
				places.add(chosen.get().runner());
				this.runnersForRestarts.add(chosen.get().runner().key());
			}
		}

		private Optional<Candidate> choose(WorkItem item, PlaceRequest request, Optional<String> rack,
				Predicate<Candidate> filter) {
			StepSpec spec = item.tasks().spec();
			Optional<PlacementLimit> limit = limit(item, spec);
			limit.ifPresent(this.placement.observer()::onLimit);
			return limit.isPresent() ? Optional.empty() : find(item, request, rack, filter);
		}

		private Optional<PlacementLimit> limit(WorkItem item, StepSpec spec) {
			if (exceedsWorkspaceLimit(item, spec)) {
				return Optional.of(PlacementLimit.WORKSPACE_LIMIT);
			}
			boolean exceedsShare = item.urgency() == WorkItem.Urgency.LONG_RUNNING
					&& this.runnerChoice.exceedsLongRunningShare(item.queue().pool(), spec, LONG_RUNNING_SHARE);
			return exceedsShare ? Optional.of(PlacementLimit.LONG_RUNNING_SHARE) : Optional.empty();
		}

		private Optional<Candidate> find(WorkItem item, PlaceRequest request, Optional<String> rack,
				Predicate<Candidate> filter) {
			this.placement.observer().onChoice(this.runnerChoice, request);
			Optional<Candidate> chosen = this.runnerChoice.choose(request, rack, filter);
			if (chosen.isEmpty() && item.urgency() != WorkItem.Urgency.LATE) {
				this.poolsLackingCapacity.add(item.queue().pool());
			}
			return chosen;
		}

		private boolean exceedsWorkspaceLimit(WorkItem item, StepSpec spec) {
			String workspace = item.job().workspace();
			Resources after = chargedTo(workspace).plus(spec.resources());
			return this.configuration.workspace(workspace).filter((known) -> known.isExceededBy(after)).isPresent();
		}

		private Resources chargedTo(String workspace) {
			return this.chargedByWorkspace.computeIfAbsent(workspace, this.state.runs()::chargedTo);
		}

		private void assign(WorkItem item, WaitingTask waiting, Candidate candidate) {
			take(item, candidate, waiting.request().places());
			this.placement.onAssigned(candidate, waiting);
			this.assignments.add(new BatchCommand.Assignment(waiting.task(), waiting.run(), candidate.runner().key()));
		}

		private void take(WorkItem item, Candidate candidate, JobPlaces places) {
			StepSpec spec = item.tasks().spec();
			candidate.reserve(spec);
			places.add(candidate.runner());
			this.chargedByWorkspace.put(item.job().workspace(),
					chargedTo(item.job().workspace()).plus(spec.resources()));
		}

		private void giveBack(WorkItem item, Candidate candidate, JobPlaces places) {
			StepSpec spec = item.tasks().spec();
			candidate.release(spec);
			places.remove(candidate.runner());
			this.chargedByWorkspace.computeIfPresent(item.job().workspace(),
					(name, sum) -> sum.minus(spec.resources()));
		}

	}

}
