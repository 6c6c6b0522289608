package io.burdockpin.core.batch.lead.pool;

import java.util.Random;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Load: four pools whose demand peaks take turns, each peak of 55 jobs per second with a
 * step of 1 s, and a twentieth of the mean between the peaks.
 */
class DemandForecastTests {

	private static final int POOLS = 4;

	private static final int LOOK_AHEAD_MILLIS = 1_700;

	private static final double LIMIT_HOSTS = 80;

	private static final double PEAK_PER_SECOND = 55;

	private static final double BASE_PER_SECOND = 0.55;

	private static final double MEAN_HOSTS_PER_JOB = 0.8;

	private static final int ROUND_MILLIS = 150;

	private final DemandForecast forecast = new DemandForecast();

	private final RandomGenerator random = new Random(1);

	private long nowMillis = 1_000_000;

	/** Guards against peaks that are learned only when the day is nearly over. */
	@Test
	void aPeriodIsRecognisedBeforeTheSecondPeakOfTheThirdPool() {
		for (int turnMillis : new int[] { 2_000, 3_000, 4_000, 7_000 }) {
			DemandForecastTests load = new DemandForecastTests();
			load.runTurns(POOLS, turnMillis);
			load.runTurns(1, turnMillis);
			load.run(1, turnMillis / 2, 1);
			Truth.assertThat(load.forecast.periodMillis().isPresent()).isTrue();
			Truth.assertThat((double) load.forecast.periodMillis().getAsLong()).isWithin(250).of(POOLS * turnMillis);
		}
	}

	/**
	 * Guards against a pool that grows only after the first jobs of its peak are late.
	 */
	@Test
	void aPeakIsExpectedBeforeItBegins() {
		runTurns(2 * POOLS, 4_000);
		run(0, 3_000, 1);
		Truth.assertThat(expected(1).arrivalHosts()).isGreaterThan(15.0);
		Truth.assertThat(expected(2).arrivalHosts()).isLessThan(5.0);
	}

	/** Guards against hosts that wait for a peak that fails to come. */
	@Test
	void aPeakThatFailsToComeIsExpectedForLessThanTwoSeconds() {
		runTurns(2 * POOLS, 4_000);
		run(-1, 2_000, 1);
		Truth.assertThat(expected(0)).isEqualTo(ExpectedDemand.UNKNOWN);
	}

	/**
	 * Guards against a pool that is kept from growing when its peak is a burst as well.
	 */
	@Test
	void aPeakOfTwiceTheExpectedSizeIsNotLimited() {
		runTurns(2 * POOLS, 4_000);
		run(0, 1_800, 2);
		Truth.assertThat(expected(0).mostHosts()).isPositiveInfinity();
	}

	/** Guards against a forecast that moves most of the fleet into one pool. */
	@Test
	void noMoreHostsThanTheLimitAreExpected() {
		runTurns(2 * POOLS, 4_000);
		run(0, 3_000, 1);
		Truth.assertThat(this.forecast.expected("pool1", this.nowMillis, LOOK_AHEAD_MILLIS, 10).arrivalHosts())
			.isAtMost(10.0);
	}

	/**
	 * Guards against a forecast that keeps to a period after the demand has changed it.
	 */
	@Test
	void aChangedPeriodReplacesTheEarlierOne() {
		runTurns(3 * POOLS, 2_000);
		runTurns(2 * POOLS, 3_000);
		Truth.assertThat((double) this.forecast.periodMillis().orElse(0)).isWithin(250).of(12_000);
	}

	/** Guards against hosts that are held for a period that the demand does not have. */
	@Test
	void steadyDemandHasNoPeriod() {
		for (int second = 0; second < 60; second++) {
			run(0, 1_000, 0.3);
			Truth.assertThat(this.forecast.periodMillis().isPresent()).isFalse();
		}
	}

	/** Guards against a pool that is limited because of a period recognised by chance. */
	@Test
	void demandWithoutAPeriodIsRarelyTakenForRecurring() {
		int recognised = 0;
		for (int turn = 0; turn < 60; turn++) {
			run(this.random.nextInt(POOLS), 1_500 + this.random.nextInt(5_500), 1);
			recognised += this.forecast.periodMillis().isPresent() ? 1 : 0;
		}
		Truth.assertThat(recognised).isAtMost(20);
	}

	/**
	 * Guards against demand of an hour ago that returns when the history wraps around.
	 */
	@Test
	void aPeriodIsForgottenAfterAPauseLongerThanTheHistory() {
		runTurns(2 * POOLS, 4_000);
		this.nowMillis += 3_600_000;
		this.forecast.update(this.nowMillis);
		Truth.assertThat(this.forecast.periodMillis().isPresent()).isFalse();
		Truth.assertThat(expected(0)).isEqualTo(ExpectedDemand.UNKNOWN);
	}

	/**
	 * Guards against a history that is lost or falsified. Occurs when a new leader sees
	 * jobs that were accepted long ago, and jobs whose last steps begin hours later.
	 */
	@Test
	void demandOutsideOfTheHistoryIsIgnored() {
		runTurns(2 * POOLS, 4_000);
		this.forecast.advance(this.nowMillis);
		this.forecast.add("pool3", this.nowMillis - 200_000, 60_000, 500);
		this.forecast.add("pool3", this.nowMillis + 7_200_000, 60_000, 500);
		run(0, 600, 1);
		Truth.assertThat(this.forecast.periodMillis().isPresent()).isTrue();
		Truth.assertThat(expected(3).soonHosts()).isLessThan(20.0);
	}

	private ExpectedDemand expected(int pool) {
		return this.forecast.expected("pool" + pool, this.nowMillis, LOOK_AHEAD_MILLIS, LIMIT_HOSTS);
	}

	private void runTurns(int turns, int turnMillis) {
		for (int turn = 0; turn < turns; turn++) {
			int peakMillis = (int) (0.77 * turnMillis);
			run(turn % POOLS, peakMillis, 1);
			run(-1, turnMillis - peakMillis, 1);
		}
	}

	private void run(int peakPool, int millis, double factor) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.forecast.advance(this.nowMillis);
			long roundMillis = Math.min(ROUND_MILLIS, endMillis - this.nowMillis);
			for (int pool = 0; pool < POOLS; pool++) {
				double perSecond = (pool == peakPool) ? factor * PEAK_PER_SECOND : BASE_PER_SECOND;
				for (int millisecond = 0; millisecond < roundMillis; millisecond++) {
					if (this.random.nextDouble() < perSecond / 1_000) {
						this.forecast.add("pool" + pool, this.nowMillis + millisecond, 1_000,
								MEAN_HOSTS_PER_JOB * (0.3 + 1.4 * this.random.nextDouble()));
					}
				}
			}
			this.nowMillis += roundMillis;
			this.forecast.update(this.nowMillis);
		}
	}

}
