package io.burdockpin.core.model;

/** What is known about whether a piece of work ran. */
public enum Outcome {

	/** It is certain that the work did not run. */
	NOT_RUN {
		@Override
		public boolean permitsRetry(boolean repeatable) {
			return true;
		}
	},

	/** The work may have run. */
	UNKNOWN {
		@Override
		public boolean permitsRetry(boolean repeatable) {
			return repeatable;
		}
	},

	/** The work ran and its complete response arrived. */
	RAN {
		@Override
		public boolean permitsRetry(boolean repeatable) {
			return false;
		}
	};

	/**
	 * Returns whether another attempt is safe after this outcome.
	 * @param repeatable whether the caller marked the request as repeatable
	 * @return {@code true} if another attempt cannot run the work more often than the
	 * caller permits
	 */
	public abstract boolean permitsRetry(boolean repeatable);

}
