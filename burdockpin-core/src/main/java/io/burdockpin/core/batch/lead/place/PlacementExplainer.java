package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.OrderRule;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Explains where a job would be placed now. Plans a round with {@link TaskPlanner}, which
 * the leader uses as well, follows it, and drops the result. A job that is not accepted
 * is submitted to a copy of the state. Immutable.
 *
 * @param durations estimator for task durations
 * @param moveMillis expected duration of a host move, in milliseconds
 * @param rule how the jobs of a pool that lacks capacity are ranked
 * @param waits waits of the leader, which are not changed
 * @param runners runners that accept new tasks
 * @param drainedRunners runners whose tasks are stopped for maintenance
 * @param reliability returns the reliability of a runner
 * @param wallMillis current wall-clock time, in milliseconds since the epoch
 */
public record PlacementExplainer(DurationEstimator durations, int moveMillis, OrderRule rule, PlacementWaits waits,
		List<RunnerRecord> runners, Set<RunnerKey> drainedRunners, Function<RunnerKey, RunnerReliability> reliability,
		long wallMillis) {

	/**
	 * Explains a job that is not accepted.
	 * @param state replicated state
	 * @param submission the command that its submission would commit
	 * @return the explanation
	 */
	public PlacementExplanation explain(BatchState state, BatchCommand.SubmitJob submission) {
		BatchState copy = BatchState.restore(state.snapshot());
		copy.apply(new CommandGroup(this.wallMillis, List.of(submission)));
		return explain(copy, copy.job(submission.id()).orElseThrow(), false);
	}

	/**
	 * Explains an accepted job.
	 * @param state replicated state, which is not changed
	 * @param job job of the state
	 * @return the explanation
	 */
	public PlacementExplanation explain(BatchState state, BatchJob job) {
		return explain(state, job, true);
	}

	private PlacementExplanation explain(BatchState state, BatchJob job, boolean accepted) {
		Trace trace = new Trace(job.id(), this.wallMillis);
		List<BatchCommand.Assignment> assignments = new TaskPlanner(this.durations, this.moveMillis, this.rule,
				this.waits.copy(trace))
			.plan(state, this.runners, this.drainedRunners, this.reliability, this.wallMillis)
			.assignments();
		Optional<BatchQueue> queue = job.configuredQueue();
		List<PlacementExplanation.Step> steps = new ArrayList<>();
		if (!job.phase().isEnded()) {
			job.occurrences().forEach((occurrence) -> addSteps(steps, state, job, occurrence, trace, assignments));
		}
		return new PlacementExplanation(job.id(), accepted, job.phase().name(), job.address(),
				queue.map(BatchQueue::pool).orElse(""), queue.map(BatchQueue::priority).orElse(0), job.workspace(),
				Optional.empty(), Optional.empty(), steps, 0, 0, "");
	}

	private void addSteps(List<PlacementExplanation.Step> steps, BatchState state, BatchJob job, Occurrence occurrence,
			Trace trace, List<BatchCommand.Assignment> assignments) {
		for (int number = 0; number < occurrence.steps().size(); number++) {
			TaskId first = new TaskId(job.id(), occurrence.number(), number, 0);
			Turn turn = trace.turns.getOrDefault(first, new Turn(Optional.empty()));
			List<PlacementExplanation.Place> places = assignments.stream()
				.filter((assignment) -> assignment.task().firstOfStep().equals(first))
				.map((assignment) -> new PlacementExplanation.Place(assignment.task().index(), assignment.runner().id(),
						state.runner(assignment.runner()).flatMap(RunnerRecord::rack).orElse("")))
				.toList();
			steps.add(new PlacementExplanation.Step(occurrence.number(), number, stateOf(occurrence, number),
					turn.position, turn.limit, turn.reason, turn.waitMillis, places, considered(state, job, turn)));
		}
	}

	private static PlacementExplanation.StepState stateOf(Occurrence occurrence, int number) {
		StepTasks step = occurrence.steps().get(number);
		if (step.isDone()) {
			return PlacementExplanation.StepState.DONE;
		}
		if (!occurrence.isReady(number)) {
			return PlacementExplanation.StepState.NOT_READY;
		}
		return (step.waitingCount() > 0) ? PlacementExplanation.StepState.WAITING
				: PlacementExplanation.StepState.RUNNING;
	}

	private static List<PlacementExplanation.Considered> considered(BatchState state, BatchJob job, Turn turn) {
		List<PlacementExplanation.Considered> considered = new ArrayList<>(turn.candidates);
		if (turn.position.isEmpty()) {
			return considered;
		}
		Set<String> known = new HashSet<>();
		turn.candidates.forEach((candidate) -> known.add(candidate.runner()));
		String pool = job.configuredQueue().map(BatchQueue::pool).orElse("");
		state.runners()
			.stream()
			.filter((runner) -> runner.pool().equals(pool) && !known.contains(runner.key().id()))
			.forEach((runner) -> considered
				.add(new PlacementExplanation.Considered(runner.key().id(), runner.rack().orElse(""),
						runner.capacity().minus(state.runs().reservedOn(runner.key())).cpuMillicores(),
						turn.candidates.isEmpty() ? Optional.empty() : Optional.of(Exclusion.NOT_USABLE))));
		return considered;
	}

	/** What happened to the steps of one job in a round. */
	private static final class Trace implements PlacementObserver {

		private final String job;

		private final long wallMillis;

		private final Map<String, Integer> turnsOfPool = new HashMap<>();

		private final Map<TaskId, Turn> turns = new LinkedHashMap<>();

		/** Empty while another job has its turn. */
		private Optional<Turn> current = Optional.empty();

		private Trace(String job, long wallMillis) {
			this.job = job;
			this.wallMillis = wallMillis;
		}

		@Override
		public void onTurn(TaskId step, String pool) {
			int position = this.turnsOfPool.merge(pool, 1, Integer::sum);
			this.current = step.job().equals(this.job) ? Optional.of(new Turn(Optional.of(position)))
					: Optional.empty();
			this.current.ifPresent((turn) -> this.turns.put(step, turn));
		}

		@Override
		public void onLimit(PlacementLimit limit) {
			this.current.ifPresent((turn) -> turn.limit = Optional.of(limit));
		}

		@Override
		public void onChoice(RunnerChoice choice, PlaceRequest request) {
			this.current.filter((turn) -> turn.candidates.isEmpty())
				.ifPresent((turn) -> choice.candidates(request.pool())
					.forEach((candidate) -> turn.candidates.add(new PlacementExplanation.Considered(
							candidate.runner().key().id(), candidate.runner().rack().orElse(""),
							candidate.freeMillicores(), Exclusion.first(choice, request, candidate)))));
		}

		@Override
		public void onDecision(WaitingTask task, PlacementWait.Decision decision) {
			this.current.ifPresent((turn) -> {
				turn.reason = Optional.of(decision.reason());
				turn.waitMillis = Math.max(turn.waitMillis, decision.untilMillis() - this.wallMillis);
			});
		}

	}

	/** The turn of one step. */
	private static final class Turn {

		private final Optional<Integer> position;

		private final List<PlacementExplanation.Considered> candidates = new ArrayList<>();

		private Optional<PlacementLimit> limit = Optional.empty();

		private Optional<PlacementReason> reason = Optional.empty();

		private long waitMillis;

		private Turn(Optional<Integer> position) {
			this.position = position;
		}

	}

}
