package io.burdockpin.core.batch.lead.plan;

import java.util.Collection;
import java.util.Map;

import io.burdockpin.core.batch.state.Occurrence;

/** How the jobs of a pool that lacks capacity are ranked. */
enum OrderRule {

	/** All jobs rank alike, so that those with the least slack come first. */
	LEAST_SLACK {

		@Override
		Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime) {
			return Map.of();
		}

	},

	/** Jobs are deferred so that the most value is in time. */
	VALUE_IN_TIME {

		@Override
		Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime) {
			return valueInTime.rank(jobs);
		}

	};

	abstract Map<Occurrence, Standing> rank(Collection<JobWork> jobs, ValueInTime valueInTime);

}
