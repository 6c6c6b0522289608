package io.burdockpin.core.report;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;

/**
 * Worker that the leader knows to be live. Immutable.
 *
 * @param report the last full report of the worker, with the sequence number of the
 * newest report that a batch has named
 * @param lastContactMillis a time at or before the newest announcement of the worker, or
 * the arrival time of the batch if the batch names the worker; never decreases
 * @param kind how the batch refers to the report of the worker
 * @param reconciliationDue whether the report is to be reconciled with the records now
 */
public record LiveWorker(WorkerReport report, long lastContactMillis, ReportKind kind, boolean reconciliationDue) {

	/**
	 * Returns whether the batch contains a new report of the worker.
	 * @return {@code true} if the report may change the decisions of a planner
	 */
	public boolean isNewReport() {
		return this.kind == ReportKind.NEW;
	}

	/**
	 * Returns whether an order must be sent, because the reply to the batch does not
	 * imply it.
	 * @param order the order for this worker
	 * @return {@code true} if the reply must contain the order
	 */
	public boolean needsExplicitOrder(WorkerOrder order) {
		return !order.orders().isEmpty()
				|| this.kind.renewsByDefault() && !order.renewed().equals(this.report.runningJobs());
	}

	/** How a batch refers to the report of a worker. */
	public enum ReportKind {

		/** The batch contains a new report. */
		NEW(true),

		/** The batch names the worker as unchanged; its last report is still valid. */
		UNCHANGED(true),

		/** The batch does not name the worker; its last report is still valid. */
		IMPLIED(false);

		private final boolean renewsByDefault;

		ReportKind(boolean impliesRenewal) {
			this.renewsByDefault = impliesRenewal;
		}

		/**
		 * Returns whether the leases of the worker are renewed if the reply contains no
		 * order for it.
		 * @return {@code true} if they are renewed
		 */
		boolean renewsByDefault() {
			return this.renewsByDefault;
		}

	}

}
