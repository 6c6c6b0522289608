package io.burdockpin.core.routing;

import java.util.List;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.RunnerName;
import org.junit.jupiter.api.Test;

/** Guards against work for faulty runners and against setting aside healthy ones. */
class RunnerHealthTests {

	private final List<RunnerName> runners = IntStream.range(0, 6)
		.mapToObj((index) -> new RunnerName("runner-" + index))
		.toList();

	private final RunnerHealth health = new RunnerHealth(RandomGeneratorFactory.of("L64X128MixRandom").create(3));

	RunnerHealthTests() {
		this.runners.forEach(this.health::add);
	}

	@Test
	void aRunnerThatFailsThreeTimesIsSetAsideForGrowingPausesWithOneTrialRequestEach() {
		RunnerName bad = this.runners.get(0);
		fail(bad, 3, 0);
		long[] shortestPauseMillis = { 800, 1600, 3200, 6400, 12_800, 25_600, 48_000, 48_000 };
		long nowMillis = 0;
		for (long pauseMillis : shortestPauseMillis) {
			Truth.assertThat(this.health.isAvailable(bad, nowMillis + pauseMillis - 1)).isFalse();
			nowMillis += pauseMillis * 5 / 4;
			Truth.assertThat(this.health.isAvailable(bad, nowMillis)).isTrue();
			this.health.onAttemptStarted(bad);
			Truth.assertThat(this.health.isAvailable(bad, nowMillis)).isFalse();
			this.health.onAttemptEnded(bad, AttemptVerdict.BAD, 1, nowMillis);
		}
	}

	@Test
	void aRunnerReturnsToServiceAfterASuccessfulTrial() {
		RunnerName bad = this.runners.get(0);
		fail(bad, 3, 0);
		this.health.onAttemptStarted(bad);
		this.health.onAttemptEnded(bad, AttemptVerdict.GOOD, 1, 1000);
		Truth.assertThat(this.health.isAvailable(bad, 1000)).isTrue();
		Truth.assertThat(this.health.setAsideCount()).isEqualTo(0);
	}

	@Test
	void atMostHalfOfTheRunnersAreSetAsideForBeingSlow() {
		for (int round = 0; round < 40; round++) {
			for (int index = 0; index < this.runners.size(); index++) {
				long serviceMillis = (index < 2) ? 10 : 10L * (index + 1) * (index + 1) * (index + 1);
				this.health.onAttemptEnded(this.runners.get(index), AttemptVerdict.GOOD, serviceMillis, round);
			}
		}
		Truth.assertThat(this.health.setAsideCount()).isAtLeast(1);
		Truth.assertThat(this.health.setAsideCount()).isAtMost(3);
		Truth.assertThat(this.health.isAvailable(this.runners.get(0), 40)).isTrue();
	}

	@Test
	void requestsThatFailOnEveryRunnerSetNoRunnerAside() {
		for (int round = 0; round < 40; round++) {
			this.runners.forEach((runner) -> this.health.onAttemptEnded(runner, AttemptVerdict.SUSPECT, 10, 0));
		}
		Truth.assertThat(this.health.setAsideCount()).isEqualTo(0);
	}

	@Test
	void aRunnerThatFailsMuchMoreOftenThanTheOthersIsSetAside() {
		for (int round = 0; round < 10; round++) {
			for (RunnerName runner : this.runners) {
				boolean bad = runner.equals(this.runners.get(0)) && round % 3 != 0;
				this.health.onAttemptEnded(runner, bad ? AttemptVerdict.SUSPECT : AttemptVerdict.GOOD, 10, 0);
			}
		}
		Truth.assertThat(this.health.isAvailable(this.runners.get(0), 0)).isFalse();
	}

	private void fail(RunnerName runner, int count, long nowMillis) {
		for (int index = 0; index < count; index++) {
			this.health.onAttemptEnded(runner, AttemptVerdict.BAD, 1, nowMillis);
		}
	}

}
