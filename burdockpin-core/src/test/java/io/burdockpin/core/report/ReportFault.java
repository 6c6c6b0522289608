package io.burdockpin.core.report;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerReports;

/** Faults that are injected at the leader and must be detected by the invariants. */
enum ReportFault {

	NONE,

	/**
	 * Uses the arrival time of a batch as the last contact of workers that it does not
	 * name.
	 */
	IMPLIED_CONTACT_IS_NOW {
		@Override
		WorkerReports apply(WorkerReports batch) {
			return new WorkerReports(batch.correlation(), batch.generation(), batch.number(), 0, batch.reports(),
					batch.unchanged(), batch.silent());
		}
	},

	/** Ignores which workers are silent. */
	SILENT_IS_IGNORED {
		@Override
		WorkerReports apply(WorkerReports batch) {
			return new WorkerReports(batch.correlation(), batch.generation(), batch.number(), batch.heardWithinMillis(),
					batch.reports(), batch.unchanged(), List.of());
		}
	};

	WorkerReports apply(WorkerReports batch) {
		return batch;
	}

}
