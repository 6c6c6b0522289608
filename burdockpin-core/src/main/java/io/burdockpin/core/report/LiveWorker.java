package io.burdockpin.core.report;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;

/**
 * A worker of which the leader knows that it is live. Immutable.
 *
 * @param report its report, with the number of its newest named report
 * @param lastContactMillis a time at or before its newest announcement, never earlier
 * than the time given before; the time of the batch if the batch names the worker
 * @param kind how the batch speaks of it
 * @param reconciliationDue whether its jobs are to be compared with the records now
 */
public record LiveWorker(WorkerReport report, long lastContactMillis, ReportKind kind, boolean reconciliationDue) {

	/**
	 * Tells whether the worker reported something else than before.
	 * @return whether a planner may decide otherwise now
	 */
	public boolean isNewReport() {
		return this.kind == ReportKind.NEW;
	}

	/**
	 * Tells whether an order says more than the answer to the batch implies.
	 * @param order the order for this worker
	 * @return whether it must be sent
	 */
	public boolean needsExplicitOrder(WorkerOrder order) {
		return !order.orders().isEmpty()
				|| this.kind.renewsByDefault() && !order.renewed().equals(this.report.runningJobs());
	}

	/** How a batch speaks of a worker. */
	public enum ReportKind {

		/** The report is new. */
		NEW(true),

		/** The earlier report stands. */
		UNCHANGED(true),

		/** The worker is not named, so the earlier report stands. */
		IMPLIED(false);

		private final boolean renewsByDefault;

		ReportKind(boolean impliesRenewal) {
			this.renewsByDefault = impliesRenewal;
		}

		/**
		 * Tells whether the worker's leases are renewed if the answer has no order for
		 * it.
		 * @return whether they are
		 */
		boolean renewsByDefault() {
			return this.renewsByDefault;
		}

	}

}
