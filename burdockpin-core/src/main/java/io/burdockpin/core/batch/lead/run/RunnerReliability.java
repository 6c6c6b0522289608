package io.burdockpin.core.batch.lead.run;

/**
 * Reliability of a runner according to its recent runs, which determines the tasks it
 * gets.
 */
public enum RunnerReliability {

	/** No recent problems. */
	SOUND {

		@Override
		public boolean isSuitable(boolean hasFailedBefore) {
			return true;
		}

	},

	/**
	 * A run has failed recently. Another failure could exhaust the attempts of a task
	 * that has failed before.
	 */
	DOUBTFUL {

		@Override
		public boolean isSuitable(boolean hasFailedBefore) {
			return !hasFailedBefore;
		}

	},

	/** Most recent runs have failed, or the tasks hardly progress. */
	SUSPECT {

		@Override
		public boolean isSuitable(boolean hasFailedBefore) {
			return false;
		}

	};

	/**
	 * Checks whether a task should be placed on the runner while others are available.
	 * @param hasFailedBefore whether a run of the task has failed
	 * @return {@code true} if the runner is suitable for the task
	 */
	public abstract boolean isSuitable(boolean hasFailedBefore);

}
