package io.burdockpin.core.batch.lead.plan;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * Measures the processor time of a planning round with 770 runners, 8 queues, 20
 * workspaces and 5,000 waiting tasks in pools that are full. Run by hand:
 * {@code java -cp burdockpin-core/target/classes:burdockpin-core/target/test-classes:...}
 */
public final class PlanningRoundMeasurement {

	private static final int RUNNERS = 770;

	private static final int POOLS = 4;

	private static final int QUEUES = 8;

	private static final int WORKSPACES = 20;

	private static final int WAITING_TASKS = 5_000;

	private static final long NOW_MILLIS = 10_000_000;

	private static final int ROUNDS = 60;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Random random = new Random(1);

	private final BatchState state = new BatchState();

	private final List<RunnerRecord> runners = new ArrayList<>();

	private final TaskPlanner planner;

	private PlanningRoundMeasurement(TaskPlanner planner) {
		this.planner = planner;
	}

	/**
	 * Prints the figures.
	 * @param args not used
	 */
	public static void main(String[] args) {
		for (OrderRule rule : OrderRule.values()) {
			for (int tasksPerJob : new int[] { 8, 1 }) {
				for (boolean isFull : new boolean[] { true, false }) {
					new PlanningRoundMeasurement(new TaskPlanner(new DurationEstimator(), 1_700, rule))
						.measure(rule.toString(), tasksPerJob, isFull);
				}
			}
		}
	}

	private void measure(String rule, int tasksPerJob, boolean isFull) {
		configure();
		if (isFull) {
			fill();
		}
		for (int number = 0; number < WAITING_TASKS / tasksPerJob; number++) {
			submit("waiting" + number, tasksPerJob, NOW_MILLIS - this.random.nextInt(1_500));
		}
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		double[] millis = new double[ROUNDS];
		int assigned = 0;
		for (int round = 0; round < ROUNDS; round++) {
			long before = threads.getCurrentThreadCpuTime();
			assigned = plan().assignments().size();
			millis[round] = (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_MILLI;
		}
		double[] warm = Arrays.copyOfRange(millis, ROUNDS / 2, ROUNDS);
		Arrays.sort(warm);
		System.out.printf(Locale.ROOT,
				"%s, %d tasks a job, pools %s: first %.1f ms, median %.1f ms, maximum %.1f ms, %d assigned%n", rule,
				tasksPerJob, isFull ? "full" : "empty", millis[0], warm[warm.length / 2], warm[warm.length - 1],
				assigned);
	}

	private Plan plan() {
		return this.planner.plan(this.state, this.runners, Set.of(), (runner) -> RunnerReliability.SOUND, NOW_MILLIS);
	}

	private void fill() {
		for (int number = 0; number < RUNNERS; number++) {
			submit("running" + number, 12, NOW_MILLIS - 1_500);
		}
		List<BatchCommand.Assignment> assignments = plan().assignments();
		while (!assignments.isEmpty()) {
			apply(new BatchCommand.AssignRuns(assignments));
			assignments = plan().assignments();
		}
	}

	private void submit(String id, int tasks, long acceptedMillis) {
		int cpuMillicores = 2_500 + this.random.nextInt(1_200);
		StepSpec first = step(tasks, cpuMillicores, List.of());
		StepSpec second = step(tasks, cpuMillicores, List.of(0));
		List<StepSpec> steps = this.random.nextBoolean() ? List.of(first) : List.of(first, second);
		this.state.apply(
				new CommandGroup(acceptedMillis, List.of(BatchFixtures.submit(id, "queue" + this.random.nextInt(QUEUES),
						"team" + this.random.nextInt(WORKSPACES), new JobSpec(id, steps, 0, 0, 0)))));
	}

	private StepSpec step(int tasks, int cpuMillicores, List<Integer> after) {
		return new StepSpec(tasks, new Resources(cpuMillicores, 8_800, 0), 500 + this.random.nextInt(1_000), after,
				false, false, false, Optional.empty(), Optional.empty(), OptionalInt.empty(), false, false,
				Optional.empty(), OptionalInt.empty(), false, 0);
	}

	private void configure() {
		List<BatchQueue> queues = new ArrayList<>();
		List<BatchPool> pools = new ArrayList<>();
		List<Workspace> workspaces = new ArrayList<>();
		for (int number = 0; number < QUEUES; number++) {
			queues.add(new BatchQueue("queue" + number, "host", "/queue" + number + "/", false, "pool" + number % POOLS,
					0, 2, 3_000, 600, 1.6));
		}
		for (int number = 0; number < POOLS; number++) {
			pools.add(new BatchPool("pool" + number, false, false));
		}
		for (int number = 0; number < WORKSPACES; number++) {
			workspaces.add(new Workspace("team" + number, Set.of("key" + number), 1, Resources.NONE));
		}
		apply(new BatchCommand.SetConfiguration(new FleetConfiguration(1, queues, pools, workspaces, Payload.EMPTY)));
		for (int number = 0; number < RUNNERS; number++) {
			RunnerRecord runner = new RunnerRecord(new RunnerKey("r" + number, 1), Optional.of("host" + number),
					"pool" + number % POOLS, "127.0.0.1:1", "dc1", Optional.of("rack" + number / 12),
					new Resources(16_000 << (number % 3), 65_536 << (number % 3), 0), Set.of(), false);
			this.runners.add(runner);
			apply(BatchFixtures.register(runner));
		}
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(NOW_MILLIS, List.of(command)));
	}

}
