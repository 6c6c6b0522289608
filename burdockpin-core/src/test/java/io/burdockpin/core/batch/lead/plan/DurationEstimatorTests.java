package io.burdockpin.core.batch.lead.plan;

import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.QueueAddress;
import org.junit.jupiter.api.Test;

class DurationEstimatorTests {

	private static final QueueAddress QUEUE = new QueueAddress("host", "/queue/");

	@Test
	void theCallersEstimateIsUsedUntilTasksWereMeasured() {
		Truth.assertThat(new DurationEstimator().estimateMillis(QUEUE, 700)).isEqualTo(700);
	}

	/** Load: estimates that are wrong by a factor of two and more. */
	@Test
	void inaccurateEstimatesAreReplacedByMeasuredDurations() {
		DurationEstimator estimator = new DurationEstimator();
		double before = 0;
		double after = 0;
		Random random = new Random(7);
		for (int task = 0; task < 600; task++) {
			long actualMillis = Math.round(1_000 * Math.exp(0.4 * random.nextGaussian()));
			int estimatedMillis = (int) Math.max(1, Math.round(actualMillis * Math.exp(0.9 * random.nextGaussian())));
			if (task >= 300) {
				before += Math.abs(Math.log((double) estimatedMillis / actualMillis));
				after += Math.abs(Math.log((double) estimator.estimateMillis(QUEUE, estimatedMillis) / actualMillis));
			}
			estimator.addSample(QUEUE, estimatedMillis, actualMillis);
		}
		Truth.assertThat(after / before).isLessThan(0.6);
	}

	@Test
	void accurateEstimatesAreKept() {
		DurationEstimator estimator = new DurationEstimator();
		for (int task = 1; task <= 200; task++) {
			estimator.addSample(QUEUE, 10 * task, 10L * task);
		}
		Truth.assertThat((double) estimator.estimateMillis(QUEUE, 1_500)).isWithin(60).of(1_500);
	}

}
