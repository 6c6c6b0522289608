package io.burdockpin.core.batch.lead.plan;

import java.util.Collection;
import java.util.Map;

import io.burdockpin.core.batch.state.Occurrence;

/** How the jobs of a pool that lacks capacity are ranked. */
public enum OrderRule {

	/** All jobs rank alike, so that those with the least slack come first. */
	LEAST_SLACK {

		@Override
		Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime) {
			return Map.of();
		}

		@Override
		boolean isRanking() {
			return false;
		}

	},

	/**
	 * Jobs are deferred so that the most value is in time. Serves more jobs in time under
	 * a lasting overload, and fewer while a pool is short only until it has grown.
	 */
	VALUE_IN_TIME {

		@Override
		Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime) {
			return valueInTime.rank(jobs);
		}

		@Override
		boolean isRanking() {
			return true;
		}

	};

	/**
	 * Tells whether the jobs of pools that lack capacity have to be examined.
	 * @return {@code false} if all jobs rank alike
	 */
	abstract boolean isRanking();

	abstract Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime);

}
