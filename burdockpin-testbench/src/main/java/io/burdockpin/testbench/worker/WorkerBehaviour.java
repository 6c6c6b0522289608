package io.burdockpin.testbench.worker;

/** How a stand-in worker treats jobs. */
public enum WorkerBehaviour {

	/** Runs each job as its payload says. */
	NORMAL,

	/** Fails every job as soon as it starts. */
	FAIL_EVERYTHING {
		@Override
		JobBehaviour apply(JobBehaviour wanted) {
			return JobBehaviour.FAIL_AT_START;
		}
	},

	/** Refuses every job before it starts. */
	REFUSE_EVERYTHING {
		@Override
		JobBehaviour apply(JobBehaviour wanted) {
			return JobBehaviour.NOT_STARTED;
		}
	},

	/** Never ends a job. */
	HANG {
		@Override
		JobBehaviour apply(JobBehaviour wanted) {
			return JobBehaviour.HANG;
		}
	};

	/**
	 * Returns how a job ends on this worker.
	 * @param wanted what its payload says
	 * @return what the worker does
	 */
	JobBehaviour apply(JobBehaviour wanted) {
		return wanted;
	}

}
