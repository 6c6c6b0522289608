package io.burdockpin.core.report;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class WorkerReportTests {

	private static final int SEEDS = 40;

	private static final long RUN_MILLIS = 300_000;

	@Test
	void noStaleReportCountsAsFreshOverLostRepeatedAndReorderedBatches() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			ReportSimulation simulation = run(seed, ReportFault.NONE, true);
			Truth.assertWithMessage("seed %s", seed).that(simulation.violations).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(simulation.liveWorkerCount).isGreaterThan(1_000);
		}
	}

	@Test
	void theInvariantsDetectAReceiverThatUsesTheArrivalTimeForWorkersThatAreNotNamed() {
		Truth.assertThat(run(1, ReportFault.IMPLIED_CONTACT_IS_NOW, true).violations).isNotEmpty();
	}

	@Test
	void theInvariantsDetectAReceiverThatIgnoresSilentWorkers() {
		Truth.assertThat(run(1, ReportFault.SILENT_IS_IGNORED, true).violations).isNotEmpty();
	}

	private static ReportSimulation run(long seed, ReportFault fault, boolean faulty) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		ReportSimulation simulation = new ReportSimulation(random, fault, faulty);
		simulation.run(RUN_MILLIS);
		return simulation;
	}

}
