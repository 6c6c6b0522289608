package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: tasks that fill disturb a serving task on the same runner by an amount
 * that changes within seconds.
 */
class BestEffortThrottleTests {

	private static final int TARGET_MILLIS = 100;

	private static final int STEP_MILLIS = 50;

	/** How long a serving task may be over its target because of what fills beside it. */
	private static final int MAXIMUM_OVERRUN_MILLIS = 4_000;

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r1", "pool", 1);

	private static final TaskId SERVING = new TaskId("job", 0, 0, 0);

	private static final TaskId BEST_EFFORT = new TaskId("job", 0, 1, 0);

	/** Guards against a serving task that stays over its target while others fill. */
	@Test
	void aServingTaskIsNeverOverItsTargetForLongBecauseOfATaskThatFills() {
		for (int seed = 0; seed < 100; seed++) {
			Truth.assertWithMessage("seed %s", seed)
				.that(longestOverrunMillis(new Random(seed), false))
				.isLessThan(MAXIMUM_OVERRUN_MILLIS);
		}
	}

	/** A planted fault: the check must see a runner that does not obey. */
	@Test
	void theCheckSeesARunnerThatIgnoresThePace() {
		Truth.assertThat(longestOverrunMillis(new Random(1), true)).isAtLeast(MAXIMUM_OVERRUN_MILLIS);
	}

	@Test
	void aTaskThatFillsWorksAtFullPaceWhereNothingIsDisturbed() {
		Simulation play = new Simulation(new Random(1), false);
		play.disturbanceMillis = 0;
		play.run(20_000);
		Truth.assertThat(play.throttlePercent).isEqualTo(BestEffortThrottle.FULL_PERCENT);
	}

	/** Guards against a pace of an earlier leader that stays for ever. */
	@Test
	void aNewLeaderSetsThePaceOfRunsThatItTakesOver() {
		Simulation play = new Simulation(new Random(1), false);
		play.disturbanceMillis = 0;
		play.throttlePercent = 0;
		play.run(5_000);
		Truth.assertThat(play.throttlePercent).isEqualTo(BestEffortThrottle.FULL_PERCENT);
	}

	private static long longestOverrunMillis(Random random, boolean ignoresPace) {
		Simulation play = new Simulation(random, ignoresPace);
		for (int phase = 0; phase < 12; phase++) {
			play.disturbanceMillis = random.nextInt(400);
			play.run(2_000 + random.nextInt(9_000));
		}
		return play.longestOverrunMillis;
	}

	/** One runner with a serving and a filling task, seen through its lists. */
	private static final class Simulation {

		private final Random random;

		private final boolean ignoresThrottle;

		private final RunnerSession session = new RunnerSession(RUNNER, SimulatedFleet.SETTINGS.sessions(), 1, 0, 0);

		private long nowMillis = 1_000_000;

		private int throttlePercent = BestEffortThrottle.FULL_PERCENT;

		private int disturbanceMillis = 300;

		private long overrunSinceMillis = -1;

		private long longestOverrunMillis;

		private Simulation(Random random, boolean ignoresPace) {
			this.random = random;
			this.ignoresThrottle = ignoresPace;
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
				// The runner answers a request for its lists after a second.
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
			if (!isLost && !this.ignoresThrottle && order instanceof RunnerOrder.Throttle pace) {
				this.throttlePercent = pace.percent();
			}
			this.session.onOrderReply(order,
					isLost ? RunnerReply.NoAnswer.UNKNOWN : new RunnerReply.Accepted(this.nowMillis), this.nowMillis);
		}

		private int tailMillis() {
			return TARGET_MILLIS / 2 + this.disturbanceMillis * this.throttlePercent / BestEffortThrottle.FULL_PERCENT;
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
			return new RunnerReply.Listing(this.nowMillis, OptionalLong.of(1), rows, List.of());
		}

	}

}
