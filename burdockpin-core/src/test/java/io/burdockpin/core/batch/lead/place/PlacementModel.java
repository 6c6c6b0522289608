package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.OrderRule;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;

/**
 * Model of one pool whose racks have a known number of hosts. A task far from its data,
 * and a gang over several racks, take {@code factor} times as long. The planner makes the
 * decisions; the clock and the durations are those of the model.
 */
final class PlacementModel {

	static final long START_MILLIS = 1_000_000;

	private static final int ROUND_MILLIS = 20;

	private static final int TARGET_MILLIS = 600;

	private static final double STRETCH = 1.6;

	private static final Resources NO_LIMIT = Resources.NONE;

	/** How a task is treated whose near places are taken. */
	enum Policy {

		/** The decision of the product. */
		DECIDE,

		/** Starts at once wherever there is room. */
		START_AT_ONCE,

		/** Waits until a near place is free, however long that takes. */
		ALWAYS_WAIT

	}

	final BatchState state = new BatchState();

	final List<RunnerRecord> runners = new ArrayList<>();

	final Set<RunnerKey> suspects = new HashSet<>();

	final PlacementWaits waits;

	private final Map<TaskId, Long> assignedMillis = new HashMap<>();

	private final Map<TaskId, Long> endMillis = new HashMap<>();

	private final Map<TaskId, Double> slowness = new HashMap<>();

	private final Map<String, Long> objectiveMillis = new LinkedHashMap<>();

	private final Set<String> inTime = new HashSet<>();

	private final PriorityQueue<Ending> endings = new PriorityQueue<>(
			Comparator.comparingLong(Ending::atMillis).thenComparing((ending) -> ending.task().toString()));

	private final Random random;

	private final double factor;

	private final Policy policy;

	private final DurationEstimator durations = new DurationEstimator();

	private final TaskPlanner planner;

	private final RunEndEstimator runEnds;

	private long endNumber;

	long nowMillis = START_MILLIS;

	int nearTasks;

	int farTasks;

	/**
	 * Creates a pool without runners.
	 * @param factor how many times as long a remote task takes
	 * @param policy how tasks are treated
	 * @param seed seed of the durations
	 */
	PlacementModel(double factor, Policy policy, long seed) {
		this.factor = factor;
		this.policy = policy;
		this.random = new Random(seed);
		OptionalDouble known = (policy == Policy.DECIDE) ? OptionalDouble.of(factor) : OptionalDouble.empty();
		this.runEnds = new RunEndEstimator(this.state, this.durations, known, 1_700, this::assigned, this::percent);
		this.waits = new PlacementWaits(new PlacementWait(known), this.runEnds);
		this.planner = new TaskPlanner(this.durations, 1_700, OrderRule.VALUE_IN_TIME, this.waits);
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, NO_LIMIT, "pool")));
	}

	void addRack(String rack, int hosts, Resources capacity) {
		for (int number = 0; number < hosts; number++) {
			String id = rack + "-" + number;
			RunnerRecord runner = new RunnerRecord(new RunnerKey(id, 1), Optional.of("host-" + id), "pool",
					"127.0.0.1:1", "dc1", Optional.of(rack), capacity, Set.of(rack), false);
			this.runners.add(runner);
			this.runEnds.onRegistered(runner);
			apply(BatchFixtures.register(runner));
		}
	}

	void loseRack(String rack) {
		this.runners.removeIf((runner) -> runner.rack().equals(Optional.of(rack)));
		// Otherwise the tasks that always wait would never start, and use no capacity.
		this.runners.replaceAll((runner) -> new RunnerRecord(runner.key(), runner.host(), runner.pool(),
				runner.address(), runner.dataCentre(), runner.rack(), runner.capacity(),
				Set.of(runner.rack().orElseThrow(), rack), false));
	}

	StepSpec step(int count, int millicores, int estimatedMillis, String dataRack, boolean gang, int... after) {
		List<Integer> earlier = new ArrayList<>();
		for (int number : after) {
			earlier.add(number);
		}
		boolean waits = this.policy == Policy.ALWAYS_WAIT && !dataRack.isEmpty();
		return new StepSpec(count, new Resources(millicores, 1_000, 0), estimatedMillis, earlier, false, gang, gang,
				waits ? Optional.of(dataRack) : Optional.empty(),
				dataRack.isEmpty() ? Optional.empty() : Optional.of(dataRack), OptionalInt.empty(), false, false,
				Optional.empty(), OptionalInt.empty(), false, 0);
	}

	void submit(String id, StepSpec... steps) {
		JobSpec spec = BatchFixtures.job(steps);
		this.state
			.apply(new CommandGroup(this.nowMillis, List.of(BatchFixtures.submit(id, "queue-pool", "team", spec))));
		long chainMillis = 0;
		for (StepSpec step : steps) {
			chainMillis = step.after().isEmpty() ? Math.max(chainMillis, step.estimatedMillis())
					: chainMillis + step.estimatedMillis();
		}
		this.objectiveMillis.put(id, this.nowMillis + TARGET_MILLIS + (long) (STRETCH * chainMillis));
	}

	/** Makes the durations of tasks independent of the policy: by job, step and index. */
	void setSlowness(TaskId task, double times) {
		this.slowness.put(task, times);
	}

	Plan plan() {
		this.runEnds.setTime(this.nowMillis, this.nowMillis);
		return this.planner.plan(this.state, this.runners, Set.of(), this::reliability, this.nowMillis);
	}

	PlacementExplainer explainer() {
		this.runEnds.setTime(this.nowMillis, this.nowMillis);
		return new PlacementExplainer(this.durations, 1_700, OrderRule.VALUE_IN_TIME, this.waits, this.runners,
				Set.of(), this::reliability, this.nowMillis);
	}

	private RunnerReliability reliability(RunnerKey runner) {
		return this.suspects.contains(runner) ? RunnerReliability.SUSPECT : RunnerReliability.SOUND;
	}

	/** Plans one round and starts the tasks. */
	List<BatchCommand.Assignment> round() {
		List<BatchCommand.Assignment> assignments = plan().assignments();
		apply(new BatchCommand.AssignRuns(assignments));
		Map<TaskId, Boolean> spreadGangs = new HashMap<>();
		assignments.stream()
			.filter((assignment) -> this.state.isGang(assignment.task()))
			.forEach((assignment) -> spreadGangs.computeIfAbsent(assignment.task().firstOfStep(),
					(first) -> assignments.stream()
						.filter((other) -> other.task().firstOfStep().equals(first))
						.map((other) -> this.state.runner(other.runner()).flatMap(RunnerRecord::rack))
						.distinct()
						.count() > 1));
		assignments.forEach(
				(assignment) -> start(assignment, spreadGangs.getOrDefault(assignment.task().firstOfStep(), false)));
		return assignments;
	}

	/** Advances the clock, with a round after each step of the clock. */
	void run(long millis) {
		long until = this.nowMillis + millis;
		while (this.nowMillis < until) {
			this.nowMillis += ROUND_MILLIS;
			while (!this.endings.isEmpty() && this.endings.peek().atMillis() <= this.nowMillis) {
				end(this.endings.remove());
			}
			round();
		}
	}

	double inTimeShare() {
		return (double) this.inTime.size() / this.objectiveMillis.size();
	}

	boolean isInTime(String id) {
		return this.inTime.contains(id);
	}

	void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(this.nowMillis, List.of(command)));
	}

	private void start(BatchCommand.Assignment assignment, boolean spread) {
		TaskId task = assignment.task();
		StepSpec spec = this.state.step(task).get().spec();
		boolean isFar = spread || spec.dataRack()
			.filter((rack) -> !this.state.runner(assignment.runner()).get().rack().equals(Optional.of(rack)))
			.isPresent();
		this.nearTasks += isFar ? 0 : 1;
		this.farTasks += isFar ? 1 : 0;
		double times = this.slowness.getOrDefault(task, 1.0) * (isFar ? this.factor : 1);
		long end = this.nowMillis + Math.round(times * spec.estimatedMillis());
		this.assignedMillis.put(task, this.nowMillis);
		this.endMillis.put(task, end);
		this.endings.add(new Ending(end, task, assignment.run(), assignment.runner()));
	}

	private void end(Ending ending) {
		this.endNumber++;
		apply(new BatchCommand.NoteEnds(ending.runner(),
				List.of(new BatchCommand.End(this.endNumber, ending.task(), ending.run(), RunOutcome.DONE, "")),
				List.of()));
		this.assignedMillis.remove(ending.task());
		String id = ending.task().job();
		boolean isCompleted = this.state.job(id).filter((job) -> job.phase() == BatchJobPhase.COMPLETED).isPresent();
		if (isCompleted && ending.atMillis() <= this.objectiveMillis.get(id)) {
			this.inTime.add(id);
		}
	}

	private OptionalLong assigned(Run run) {
		Long millis = this.assignedMillis.get(run.task());
		return (millis != null) ? OptionalLong.of(millis) : OptionalLong.empty();
	}

	private int percent(Run run) {
		long assigned = this.assignedMillis.getOrDefault(run.task(), this.nowMillis);
		long wholeMillis = Math.max(1, this.endMillis.getOrDefault(run.task(), assigned + 1) - assigned);
		return (int) Math.min(99, 100 * (this.nowMillis - assigned) / wholeMillis);
	}

	/**
	 * Random number of the model, independent of the policy if drawn in the same order.
	 */
	Random random() {
		return this.random;
	}

	private record Ending(long atMillis, TaskId task, int run, RunnerKey runner) {

	}

}
