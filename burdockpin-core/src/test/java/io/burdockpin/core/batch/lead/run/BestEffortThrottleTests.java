package io.burdockpin.core.batch.lead.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.SimulatedFleet;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Load: best-effort tasks slow down a serving task on the same runner by an amount that
 * changes within seconds.
 */
class BestEffortThrottleTests {

	private static final int TARGET_MILLIS = 100;

	private static final int STEP_MILLIS = 50;

	/**
	 * Maximum time for which a serving task may exceed its target because of best-effort
	 * tasks.
	 */
	private static final int MAXIMUM_OVERRUN_MILLIS = 4_000;

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r1", "pool", 1);

	private static final TaskId SERVING = new TaskId("job", 0, 0, 0);

	private static final TaskId BEST_EFFORT = new TaskId("job", 0, 1, 0);

	/**
	 * Guards against a serving task that stays above its target while best-effort tasks
	 * run.
	 */
	@Test
	void servingTasksExceedTheirTargetOnlyBrieflyBecauseOfBestEffortTasks() {
		for (int seed = 0; seed < 100; seed++) {
			Truth.assertWithMessage("seed %s", seed)
				.that(longestOverrunMillis(new Random(seed), false))
				.isLessThan(MAXIMUM_OVERRUN_MILLIS);
		}
	}

	/** Verifies the check itself: a runner that ignores the throttle must be detected. */
	@Test
	void theCheckDetectsARunnerThatIgnoresTheThrottle() {
		Truth.assertThat(longestOverrunMillis(new Random(1), true)).isAtLeast(MAXIMUM_OVERRUN_MILLIS);
	}

	@Test
	void aBestEffortTaskIsNotThrottledWithoutInterference() {
		Simulation simulation = new Simulation(new Random(1), false);
		simulation.interferenceMillis = 0;
		simulation.run(20_000);
		Truth.assertThat(simulation.throttlePercent).isEqualTo(BestEffortThrottle.FULL_PERCENT);
	}

	/** Guards against a limit set by an earlier leader that is never lifted. */
	@Test
	void aNewLeaderUpdatesTheThrottleOfAdoptedRuns() {
		Simulation simulation = new Simulation(new Random(1), false);
		simulation.interferenceMillis = 0;
		simulation.throttlePercent = 0;
		simulation.run(5_000);
		Truth.assertThat(simulation.throttlePercent).isEqualTo(BestEffortThrottle.FULL_PERCENT);
	}

	private static long longestOverrunMillis(Random random, boolean ignoresThrottle) {
		Simulation simulation = new Simulation(random, ignoresThrottle);
		for (int phase = 0; phase < 12; phase++) {
			simulation.interferenceMillis = random.nextInt(400);
			simulation.run(2_000 + random.nextInt(9_000));
		}
		return simulation.longestOverrunMillis;
	}

	/**
	 * Simulates a runner with one serving and one best-effort task through its listings.
	 */
	private static final class Simulation {

		private final Random random;

		private final boolean ignoresThrottle;

		private final RunnerSession session = new RunnerSession(RUNNER, SimulatedFleet.SETTINGS.sessions(), 1, 0);

		private long nowMillis = 1_000_000;

		private int throttlePercent = BestEffortThrottle.FULL_PERCENT;

		private int interferenceMillis = 300;

		private long overrunSinceMillis = -1;

		private long longestOverrunMillis;

		private Simulation(Random random, boolean ignoresThrottle) {
			this.random = random;
			this.ignoresThrottle = ignoresThrottle;
			this.session.add(run(SERVING),
					new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.of(TARGET_MILLIS)), true);
			this.session.add(run(BEST_EFFORT), new RunSpec("", "", true, OptionalLong.empty(), OptionalInt.empty()),
					true);
		}

		private static Run run(TaskId task) {
			return new Run(task, 1, RUNNER.key(), "", Resources.NONE, Resources.NONE, true);
		}

		private void run(long millis) {
			for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += STEP_MILLIS) {
				// Heartbeats are answered once a second.
				if (this.nowMillis % 1_000 == 0) {
					this.session.nextHeartbeat(this.nowMillis);
					this.session.onHeartbeatReply(listing(), this.nowMillis);
				}
				Optional<RunnerOrder> order = this.session.nextOrder(this.nowMillis);
				order.ifPresent(this::execute);
				checkTarget();
			}
		}

		private void execute(RunnerOrder order) {
			boolean isLost = this.random.nextInt(10) == 0;
			if (!isLost && !this.ignoresThrottle && order instanceof RunnerOrder.Throttle throttle) {
				this.throttlePercent = throttle.percent();
			}
			this.session.onOrderReply(order,
					isLost ? RunnerReply.NoAnswer.UNKNOWN : new RunnerReply.Accepted(this.nowMillis), this.nowMillis);
		}

		private int tailMillis() {
			return TARGET_MILLIS / 2 + this.interferenceMillis * this.throttlePercent / BestEffortThrottle.FULL_PERCENT;
		}

		private void checkTarget() {
			if (tailMillis() <= TARGET_MILLIS) {
				this.overrunSinceMillis = -1;
				return;
			}
			this.overrunSinceMillis = (this.overrunSinceMillis < 0) ? this.nowMillis : this.overrunSinceMillis;
			this.longestOverrunMillis = Math.max(this.longestOverrunMillis, this.nowMillis - this.overrunSinceMillis);
		}

		private RunnerReply listing() {
			List<RunnerReply.RunningTask> rows = new ArrayList<>();
			rows.add(new RunnerReply.RunningTask(SERVING, 1, "", 100, OptionalInt.of(tailMillis())));
			rows.add(new RunnerReply.RunningTask(BEST_EFFORT, 1, "", 100, OptionalInt.of(500)));
			return new RunnerReply.Listing(this.nowMillis, OptionalLong.of(1), rows, List.of(), true);
		}

	}

}
