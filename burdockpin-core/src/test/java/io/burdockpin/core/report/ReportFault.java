package io.burdockpin.core.report;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerReports;

/** Faults planted into the leader's side, which the invariants must catch. */
enum ReportFault {

	NONE,

	/** Counts a worker that is only implied from when the batch arrived. */
	IMPLIED_CONTACT_IS_NOW {
		@Override
		WorkerReports apply(WorkerReports batch) {
			return new WorkerReports(batch.correlation(), batch.generation(), batch.number(), 0, batch.reports(),
					batch.unchanged(), batch.silent());
		}
	},

	/** Does not hear that a worker is silent. */
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
