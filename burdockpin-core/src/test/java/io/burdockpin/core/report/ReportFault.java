package io.burdockpin.core.report;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerReports;

/** Faults planted into the leader's side, which the invariants must catch. */
enum ReportFault {

	NONE,

	/** Counts a worker that is only implied from when the batch arrived. */
	IMPLIED_IS_NOW {
		@Override
		WorkerReports received(WorkerReports batch) {
			return new WorkerReports(batch.correlation(), batch.generation(), batch.number(), 0, batch.reports(),
					batch.unchanged(), batch.silent());
		}
	},

	/** Does not hear that a worker is silent. */
	SILENT_IS_IGNORED {
		@Override
		WorkerReports received(WorkerReports batch) {
			return new WorkerReports(batch.correlation(), batch.generation(), batch.number(), batch.heardWithinMillis(),
					batch.reports(), batch.unchanged(), List.of());
		}
	};

	WorkerReports received(WorkerReports batch) {
		return batch;
	}

}
