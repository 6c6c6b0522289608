package io.burdockpin.core.report;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;

/**
 * A worker of which the leader knows that it is live. Immutable.
 *
 * @param report its report, with the number of its newest named report
 * @param seenMillis a time at or before its newest announcement, never earlier than the
 * time given before; the time of the batch if the batch names the worker
 * @param mention how the batch speaks of it
 * @param answerDue whether its jobs are to be compared with the records now
 */
public record HeardWorker(WorkerReport report, long seenMillis, Mention mention, boolean answerDue) {

	/**
	 * Tells whether the worker reported something else than before.
	 * @return whether a planner may decide otherwise now
	 */
	public boolean isNews() {
		return this.mention == Mention.REPORTED;
	}

	/**
	 * Tells whether an order says more than the answer to the batch implies.
	 * @param order the order for this worker
	 * @return whether it must be sent
	 */
	public boolean needs(WorkerOrder order) {
		return !order.orders().isEmpty()
				|| this.mention.impliesRenewal() && !order.renewed().equals(this.report.runningJobs());
	}

	/** How a batch speaks of a worker. */
	public enum Mention {

		/** The report is new. */
		REPORTED(true),

		/** The earlier report stands. */
		UNCHANGED(true),

		/** The worker is not named, so the earlier report stands. */
		IMPLIED(false);

		private final boolean impliesRenewal;

		Mention(boolean impliesRenewal) {
			this.impliesRenewal = impliesRenewal;
		}

		/**
		 * Tells whether the worker's leases are renewed if the answer has no order for
		 * it.
		 * @return whether they are
		 */
		boolean impliesRenewal() {
			return this.impliesRenewal;
		}

	}

}
