package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * Capacity that is free after a plan. Checks independently of the planner whether a step
 * should have been planned, and assumes that there is no room in cases of doubt. Examines
 * the runners once for each distinct size of task. Not thread-safe.
 */
public final class FreeCapacity {

	/** Bounds the cost while many jobs of different sizes wait. */
	private static final int MAXIMUM_SIZES = 64;

	private final BatchState state;

	private final List<Candidate> candidates;

	private final List<BatchCommand.Assignment> planned;

	/** Not known until a step needs them, since on most fleets all steps are planned. */
	private Optional<Map<String, Pool>> pools = Optional.empty();

	private final Map<String, Resources> plannedByWorkspace = new HashMap<>();

	/**
	 * First tasks of the steps that the latest plan has assigned tasks of or lets wait.
	 */
	private final Set<TaskId> plannedSteps = new HashSet<>();

	private final Map<TaskSize, Long> places = new HashMap<>();

	/**
	 * Creates the view.
	 * @param state replicated state
	 * @param candidates runners that accept new tasks, with the capacity that is left
	 * free
	 * @param planned assignments that are not applied to the state, but count in the
	 * candidates
	 */
	public FreeCapacity(BatchState state, List<Candidate> candidates, List<BatchCommand.Assignment> planned) {
		this(state, candidates, planned, Set.of());
	}

	/**
	 * Creates the view while tasks wait for a better place.
	 * @param state replicated state
	 * @param candidates runners that accept new tasks, with the capacity that is left
	 * free
	 * @param planned assignments that are not applied to the state, but count in the
	 * candidates
	 * @param waitingSteps first tasks of the steps that wait although there is room
	 */
	public FreeCapacity(BatchState state, List<Candidate> candidates, List<BatchCommand.Assignment> planned,
			Set<TaskId> waitingSteps) {
		this.state = state;
		this.candidates = candidates;
		this.planned = planned;
		planned.forEach((assignment) -> this.plannedSteps.add(assignment.task().firstOfStep()));
		this.plannedSteps.addAll(waitingSteps);
	}

	private Map<String, Pool> countFree() {
		Map<String, Pool> counted = new HashMap<>();
		for (Candidate candidate : this.candidates) {
			if (candidate.reliability() == RunnerReliability.SOUND) {
				counted.computeIfAbsent(candidate.runner().pool(), (pool) -> new Pool()).add(candidate);
			}
		}
		this.planned.forEach((assignment) -> charge(assignment.task()));
		return counted;
	}

	private void charge(TaskId task) {
		this.state.step(task)
			.map(StepTasks::spec)
			.ifPresent((spec) -> this.state.job(task.job())
				.ifPresent((job) -> this.plannedByWorkspace.merge(job.workspace(), spec.resources(), Resources::plus)));
	}

	/**
	 * Checks whether tasks of a step should have been planned.
	 * @param firstTask first task of the step, which identifies it
	 * @param workspace workspace that is charged
	 * @param pool pool of the queue
	 * @param step step with waiting tasks
	 * @return {@code true} if none was planned and there is room for the tasks that must
	 * start together
	 */
	public boolean hasRoomFor(TaskId firstTask, String workspace, String pool, StepTasks step) {
		if (this.plannedSteps.contains(firstTask)) {
			return false;
		}
		if (this.pools.isEmpty()) {
			this.pools = Optional.of(countFree());
		}
		StepSpec spec = step.spec();
		Pool capacity = this.pools.get().get(pool);
		boolean isNewService = spec.longRunning() && step.highestRun() == 0;
		boolean startsTogether = spec.gang() || isNewService;
		int needed = startsTogether ? spec.taskCount() : 1;
		if (capacity == null || places(pool, capacity, spec) < needed + placesInDoubt(step)) {
			return false;
		}
		boolean canStart = !startsTogether || step.areAllWaiting();
		return canStart && !exceedsWorkspaceLimit(workspace, spec.resources().times(needed))
				&& (!isNewService || capacity.hasLongRunningShareFor(spec.reserved().times(needed)));
	}

	// Active tasks may take places where the number per runner is limited.
	private static long placesInDoubt(StepTasks step) {
		return step.spec().maximumPerRunner().isEmpty() ? 0 : step.activeCount();
	}

	private boolean exceedsWorkspaceLimit(String workspace, Resources added) {
		Resources charged = this.state.runs()
			.chargedTo(workspace)
			.plus(this.plannedByWorkspace.getOrDefault(workspace, Resources.NONE))
			.plus(added);
		return this.state.configuration()
			.flatMap((configuration) -> configuration.workspace(workspace))
			.filter((known) -> known.isExceededBy(charged))
			.isPresent();
	}

	private long places(String name, Pool pool, StepSpec spec) {
		if (!spec.reserved().fitsIn(pool.largestFree)) {
			return 0;
		}
		TaskSize size = new TaskSize(name, spec.reserved(), spec.requiredLabel(), spec.maximumPerRunner());
		if (!this.places.containsKey(size) && this.places.size() == MAXIMUM_SIZES) {
			return 0;
		}
		return this.places.computeIfAbsent(size, (added) -> pool.places(spec));
	}

	private static int countIn(Resources free, Resources task) {
		return Math.min(countIn(free.cpuMillicores(), task.cpuMillicores()),
				Math.min(countIn(free.memoryMebibytes(), task.memoryMebibytes()),
						countIn(free.accelerators(), task.accelerators())));
	}

	private static int countIn(int free, int task) {
		return (task == 0) ? Integer.MAX_VALUE : free / task;
	}

	/** Runners of a pool. */
	private static final class Pool {

		private final List<Candidate> candidates = new ArrayList<>();

		/** Largest free amount in each dimension, not necessarily of the same runner. */
		private Resources largestFree = Resources.NONE;

		private double longRunningMillicores;

		private double longRunningMebibytes;

		private void add(Candidate candidate) {
			Resources capacity = candidate.runner().capacity();
			this.candidates.add(candidate);
			this.largestFree = this.largestFree.largestOf(candidate.free());
			this.longRunningMillicores += TaskPlanner.LONG_RUNNING_SHARE * capacity.cpuMillicores()
					- candidate.longRunning().cpuMillicores();
			this.longRunningMebibytes += TaskPlanner.LONG_RUNNING_SHARE * capacity.memoryMebibytes()
					- candidate.longRunning().memoryMebibytes();
		}

		private boolean hasLongRunningShareFor(Resources added) {
			return added.cpuMillicores() <= this.longRunningMillicores
					&& added.memoryMebibytes() <= this.longRunningMebibytes;
		}

		private long places(StepSpec spec) {
			int maximum = spec.maximumPerRunner().orElse(Integer.MAX_VALUE);
			return this.candidates.stream()
				.filter((candidate) -> candidate.fits(spec))
				.mapToLong((candidate) -> Math.min(maximum, countIn(candidate.free(), spec.reserved())))
				.sum();
		}

	}

	/** What determines on which runners a task fits. */
	private record TaskSize(String pool, Resources reserved, Optional<String> label, OptionalInt maximumPerRunner) {

	}

}
