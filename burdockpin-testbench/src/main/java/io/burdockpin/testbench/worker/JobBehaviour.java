package io.burdockpin.testbench.worker;

import io.burdockpin.core.client.JobPhase;

/** How a job of the stand-in worker ends. */
public enum JobBehaviour {

	/** Ends well after its run time. */
	SUCCEED(JobPhase.SUCCEEDED),

	/** Ends with an error after its run time. */
	FAIL(JobPhase.FAILED),

	/** Ends with an error as soon as it starts. */
	FAIL_AT_START(JobPhase.FAILED) {
		@Override
		long runMillis(long wantedMillis) {
			return 0;
		}
	},

	/** Is refused before it starts. */
	NOT_STARTED(JobPhase.NOT_STARTED) {
		@Override
		long runMillis(long wantedMillis) {
			return 0;
		}
	},

	/** Runs until it is stopped. */
	HANG(JobPhase.RUNNING) {
		@Override
		long runMillis(long wantedMillis) {
			return Long.MAX_VALUE;
		}
	};

	private final JobPhase endPhase;

	JobBehaviour(JobPhase endPhase) {
		this.endPhase = endPhase;
	}

	/**
	 * Returns how the job ends.
	 * @return the phase that the worker reports in the end
	 */
	JobPhase endPhase() {
		return this.endPhase;
	}

	/**
	 * Returns how long the job runs.
	 * @param wantedMillis the run time in the payload
	 * @return the run time in milliseconds
	 */
	long runMillis(long wantedMillis) {
		return wantedMillis;
	}

}
