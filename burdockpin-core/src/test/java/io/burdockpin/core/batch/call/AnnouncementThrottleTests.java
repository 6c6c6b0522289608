package io.burdockpin.core.batch.call;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import org.junit.jupiter.api.Test;

class AnnouncementThrottleTests {

	private static final RunnerRecord RUNNER = BatchFixtures.runner("runner", "pool", 1);

	private final BatchState state = new BatchState();

	private final AnnouncementThrottle announcements = new AnnouncementThrottle();

	/**
	 * Guards against a leader that is overloaded by announcements without changes. With
	 * 246 runners at five members, it gets 164 a second if each announcement, one per 1.5
	 * s and runner, is forwarded.
	 */
	@Test
	void announcementsOfAnUnchangedRunnerAreForwardedAFewTimesAMinute() {
		register(RUNNER);
		int forwarded = 0;
		for (long nowMillis = 1_000; nowMillis < 61_000; nowMillis += 1_500) {
			forwarded += acknowledges(RUNNER, nowMillis) ? 0 : 1;
		}
		Truth.assertThat(forwarded).isAtMost(5);
		Truth.assertThat(forwarded).isAtLeast(3);
	}

	/** Guards against a drain or a new incarnation that does not reach the leader. */
	@Test
	void eachChangeIsForwarded() {
		register(RUNNER);
		acknowledges(RUNNER, 1_000);
		Truth.assertThat(acknowledges(RUNNER, 1_100)).isTrue();
		RunnerRecord draining = RUNNER.withoutNewTasks();
		Truth.assertThat(acknowledges(draining, 1_200)).isFalse();
		Truth.assertThat(acknowledges(draining, 1_300)).isFalse();
		register(draining);
		Truth.assertThat(acknowledges(draining, 1_400)).isTrue();
		Truth.assertThat(acknowledges(BatchFixtures.runner("runner", "pool", 2), 1_500)).isFalse();
	}

	@Test
	void announcementsOfAnUnregisteredRunnerAreForwarded() {
		Truth.assertThat(acknowledges(RUNNER, 1_000)).isFalse();
		Truth.assertThat(acknowledges(RUNNER, 1_100)).isFalse();
	}

	private void register(RunnerRecord runner) {
		this.state.apply(new CommandGroup(1_000, List.of(BatchFixtures.register(runner))));
	}

	private boolean acknowledges(RunnerRecord runner, long nowMillis) {
		return this.announcements.mayAcknowledge(new FleetCall.Announce(runner, 1), this.state, nowMillis);
	}

}
