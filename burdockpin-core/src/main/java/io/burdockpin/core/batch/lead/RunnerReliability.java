package io.burdockpin.core.batch.lead;

/** Which tasks a runner should get, by what its runs have done lately. */
public enum RunnerReliability {

	/** Nothing speaks against it. */
	SOUND {

		@Override
		boolean isSuitable(boolean hasFailedBefore) {
			return true;
		}

	},

	/**
	 * A run has failed lately. One more failure may use up the attempts of a task that
	 * has failed before.
	 */
	DOUBTFUL {

		@Override
		boolean isSuitable(boolean hasFailedBefore) {
			return !hasFailedBefore;
		}

	},

	/** Most of its runs have failed, or hardly advance. */
	SUSPECT {

		@Override
		boolean isSuitable(boolean hasFailedBefore) {
			return false;
		}

	};

	/**
	 * Tells whether a task should run there while other runners may take it.
	 * @param hasFailedBefore whether a run of the task has failed
	 * @return whether the runner suits the task
	 */
	abstract boolean isSuitable(boolean hasFailedBefore);

}
