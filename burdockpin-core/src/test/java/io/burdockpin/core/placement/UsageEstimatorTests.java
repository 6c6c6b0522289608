package io.burdockpin.core.placement;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against placements based on declarations that differ widely from observed usage.
 */
class UsageEstimatorTests {

	private final UsageEstimator estimator = new UsageEstimator();

	@Test
	void aFewFinishedJobsCorrectTheDeclaredSizeAndRunTime() {
		for (int number = 1; number <= 4; number++) {
			JobRecord job = Records.placedOn(1, "j-" + number, Records.spec("team-1", 4, false, true),
					JobState.RUNNING);
			this.estimator.recordUsage(job, new Resources(1_000, 256, 0), 20_000);
			this.estimator.recordEnd(job, true, 30_000);
		}
		Truth.assertThat(this.estimator.expectedUsage(Records.spec("team-1", 4, false, true)))
			.isEqualTo(new Resources(1_000, 256, 0));
		Truth.assertThat(this.estimator.expectedRunMillis(Records.spec("team-1", 4, false, true))).isEqualTo(30_000);
	}

	@Test
	void theDeclarationHoldsWhileTooFewJobsHaveFinished() {
		JobRecord job = Records.placedOn(1, "j-1", Records.spec("team-1", 4, false, true), JobState.RUNNING);
		this.estimator.recordUsage(job, new Resources(1_000, 256, 0), 20_000);
		this.estimator.recordEnd(job, true, 30_000);
		Truth.assertThat(this.estimator.expectedUsage(Records.spec("team-1", 4, false, true)))
			.isEqualTo(new Resources(4_000, 512, 0));
	}

}
