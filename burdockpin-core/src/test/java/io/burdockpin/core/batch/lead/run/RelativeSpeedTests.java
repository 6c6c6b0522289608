package io.burdockpin.core.batch.lead.run;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
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

/** Load: some runners are several times slower than others, or stalled. */
class RelativeSpeedTests {

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r1", "pool", 1);

	private static final int ESTIMATE_MILLIS = 800;

	private static final long START_MILLIS = 1_000_000;

	private static final int SEEDS = 300;

	/**
	 * Standard deviation of the logarithm of the work of a task, for accurate estimates.
	 */
	private static final double ACCURATE_SPREAD = 0.2;

	/** The same for inaccurate estimates. */
	private static final double INACCURATE_SPREAD = 0.9;

	/** Guards against a slow runner that keeps getting tasks. */
	@Test
	void aRunnerThatIsSixTimesSlowerIsSuspectAfterASecond() {
		Truth.assertThat(suspectCount(1 / 6.0, ACCURATE_SPREAD)).isAtLeast(SEEDS * 95 / 100);
		Truth.assertThat(suspectCount(1 / 6.0, INACCURATE_SPREAD)).isGreaterThan(SEEDS / 2);
	}

	@Test
	void aRunnerWhoseTasksAreStalledIsSuspectAfterASecond() {
		Truth.assertThat(suspectCount(0, INACCURATE_SPREAD)).isEqualTo(SEEDS);
	}

	/**
	 * Guards against healthy runners that are avoided because estimates are inaccurate.
	 */
	@Test
	void aHealthyRunnerIsRarelySuspectDespiteInaccurateEstimates() {
		Truth.assertThat(suspectCount(1, INACCURATE_SPREAD)).isAtMost(SEEDS * 5 / 100);
	}

	private static int suspectCount(double speed, double spread) {
		int count = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			RunnerReliabilityTracker reputation = new RunnerReliabilityTracker();
			OptionalDouble observed = observedSpeed(speed, spread, new Random(seed));
			observed.ifPresent((value) -> reputation.recordSpeed(RUNNER.key(), value, START_MILLIS));
			count += (reputation.reliability(RUNNER.key(), START_MILLIS) == RunnerReliability.SUSPECT) ? 1 : 0;
		}
		return count;
	}

	private static OptionalDouble observedSpeed(double speed, double spread, Random random) {
		RunnerSession session = new RunnerSession(RUNNER, SimulatedFleet.SETTINGS.sessions(), 1, 0);
		session.nextHeartbeat(START_MILLIS);
		session.onHeartbeatReply(listing(List.of()), START_MILLIS);
		List<RunnerReply.RunningTask> rows = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			TaskId task = new TaskId("job", 0, 0, index);
			session.add(new Run(task, 1, RUNNER.key(), "", Resources.NONE, Resources.NONE, false),
					new RunSpec("", "", false, OptionalLong.of(ESTIMATE_MILLIS), OptionalInt.empty()), false);
			session.onOrderReply(session.nextOrder(START_MILLIS).get(), new RunnerReply.Accepted(1), START_MILLIS);
			double workMillis = ESTIMATE_MILLIS * Math.exp(spread * random.nextGaussian());
			int percent = (int) Math.min(100, 100 * 1_000 * speed / workMillis);
			// Completed tasks are not listed any more.
			if (percent < 100) {
				rows.add(new RunnerReply.RunningTask(task, 1, "", percent, OptionalInt.empty()));
			}
			else {
				session.remove(task, 1);
			}
		}
		session.nextHeartbeat(START_MILLIS + 1_000);
		session.onHeartbeatReply(listing(rows), START_MILLIS + 1_000);
		return session.relativeSpeed(START_MILLIS + 1_000);
	}

	private static RunnerReply listing(List<RunnerReply.RunningTask> rows) {
		return new RunnerReply.Listing(1, OptionalLong.of(1), rows, List.of(), true);
	}

}
