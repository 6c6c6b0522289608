package io.burdockpin.core.batch.lead.closing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.lead.wave.DisruptionBudget;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Moves long-running tasks out of closed data centres: stops each while the budget of its
 * step permits it and another place is free for it. Load: a closed data centre with
 * long-running tasks, while the other data centres are partly or completely full. Not
 * thread-safe; owned by the leader.
 */
public final class LongRunningEvacuation {

	private final BatchState state;

	private final DisruptionBudget budget = new DisruptionBudget();

	/**
	 * Creates the evacuation.
	 * @param state replicated state
	 */
	public LongRunningEvacuation(BatchState state) {
		this.state = state;
	}

	/**
	 * Stops the tasks that can move now. Called after each plan, when it is known which
	 * capacity the plan has taken.
	 * @param usable sound runners that accept new tasks and are not due for maintenance
	 * @param planned assignments of the plan, which are not applied yet
	 * @param sessions sessions with the runners
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onPlan(List<RunnerRecord> usable, List<BatchCommand.Assignment> planned,
			Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		List<Run> leaving = leavingRuns();
		if (leaving.isEmpty()) {
			return;
		}
		Places places = new Places(usable, planned);
		// The tasks that are being stopped have taken the first places.
		leaving.stream().filter((run) -> isStopping(run, sessions)).forEach(places::take);
		leaving.stream()
			.filter((run) -> !isStopping(run, sessions) && sessions.containsKey(run.runner()))
			.filter((run) -> mayStop(run, sessions, nowMillis) && places.take(run))
			.forEach((run) -> sessions.get(run.runner()).stop(run.task()));
	}

	private List<Run> leavingRuns() {
		List<Run> runs = new ArrayList<>();
		this.state.runners()
			.stream()
			.filter((runner) -> this.state.isClosed(runner.dataCentre())
					&& this.state.runs().hasLongRunning(runner.key()))
			.forEach((
					runner) -> this.state.runs().on(runner.key()).stream().filter(Run::longRunning).forEach(runs::add));
		return runs;
	}

	private static boolean isStopping(Run run, Map<RunnerKey, RunnerSession> sessions) {
		return Optional.ofNullable(sessions.get(run.runner()))
			.filter((session) -> session.isStopping(run.task()))
			.isPresent();
	}

	// A task that waits has found no place in the latest plan, so another one of its step
	// would not find one either. A workspace above its limit gets no task back.
	private boolean mayStop(Run run, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		boolean isLimited = this.state.configuration()
			.flatMap((current) -> current.workspace(run.workspace()))
			.filter((workspace) -> workspace.isExceededBy(this.state.runs().chargedTo(run.workspace())))
			.isPresent();
		return !isLimited && this.state.step(run.task())
			.filter((step) -> step.waitingCount() == 0)
			.filter((step) -> this.budget.permitsStop(run, step, sessions, nowMillis))
			.isPresent();
	}

	/** Free capacity after a plan. Not thread-safe. */
	private final class Places {

		private final Map<RunnerKey, Candidate> candidates = new LinkedHashMap<>();

		/**
		 * Runners that were chosen for tasks of a step, by the first task of the step.
		 */
		private final Map<RunnerOfStep, Integer> taken = new HashMap<>();

		private final Set<TaskId> stepsWithoutPlace = new HashSet<>();

		private Places(List<RunnerRecord> usable, List<BatchCommand.Assignment> planned) {
			BatchState current = LongRunningEvacuation.this.state;
			TaskPlanner.candidates(current, usable, (runner) -> RunnerReliability.SOUND)
				.forEach((candidate) -> this.candidates.put(candidate.runner().key(), candidate));
			planned.forEach((assignment) -> Optional.ofNullable(this.candidates.get(assignment.runner()))
				.ifPresent((candidate) -> current.step(assignment.task())
					.map(StepTasks::spec)
					.ifPresent(candidate::reserve)));
		}

		// Places only become fewer, so a step that has found none is not looked at again.
		private boolean take(Run run) {
			TaskId firstTask = run.task().firstOfStep();
			if (this.stepsWithoutPlace.contains(firstTask)) {
				return false;
			}
			Optional<StepTasks> step = LongRunningEvacuation.this.state.step(run.task());
			Optional<Candidate> place = step.flatMap((known) -> find(run, known));
			place.ifPresentOrElse((candidate) -> {
				candidate.reserve(step.get().spec());
				this.taken.merge(new RunnerOfStep(candidate.runner().key(), firstTask), 1, Integer::sum);
			}, () -> this.stepsWithoutPlace.add(firstTask));
			return place.isPresent();
		}

		private Optional<Candidate> find(Run run, StepTasks step) {
			Optional<String> pool = LongRunningEvacuation.this.state.job(run.task().job())
				.flatMap(BatchJob::configuredQueue)
				.map(BatchQueue::pool);
			return this.candidates.values()
				.stream()
				.filter((candidate) -> pool.equals(Optional.of(candidate.runner().pool()))
						&& isPossible(candidate, step, run))
				.findFirst();
		}

		private boolean isPossible(Candidate candidate, StepTasks step, Run run) {
			StepSpec spec = step.spec();
			return candidate.fits(spec) && (spec.maximumPerRunner().isEmpty()
					|| countOn(candidate.runner().key(), step, run) < spec.maximumPerRunner().getAsInt());
		}

		private long countOn(RunnerKey runner, StepTasks step, Run run) {
			return this.taken.getOrDefault(new RunnerOfStep(runner, run.task().firstOfStep()), 0) + step.changedTasks()
				.stream()
				.filter((task) -> task.run().filter((known) -> known.runner().equals(runner)).isPresent())
				.count();
		}

	}

	private record RunnerOfStep(RunnerKey runner, TaskId firstTask) {

	}

}
