package io.burdockpin.entry.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobId;

/**
 * Orders that one worker has not fetched yet. An order replaces an earlier one for the
 * same job, lease epoch and kind; lease data comes from the order for the newest report.
 * Mutable; owned by the {@link WorkerReportActor}.
 */
final class PendingOrders {

	private final Map<OrderKey, JobOrder> orders = new LinkedHashMap<>();

	private long sequence;

	private long leaseMillis;

	private List<JobId> renewedJobs = List.of();

	void add(WorkerOrder order) {
		if (order.sequence() >= this.sequence) {
			this.sequence = order.sequence();
			this.leaseMillis = order.leaseMillis();
			this.renewedJobs = order.renewed();
		}
		for (JobOrder jobOrder : order.orders()) {
			this.orders.put(new OrderKey(jobOrder.job(), jobOrder.leaseEpoch(), jobOrder.kind()), jobOrder);
		}
	}

	long sequence() {
		return this.sequence;
	}

	long leaseMillis() {
		return this.leaseMillis;
	}

	List<JobId> renewedJobs() {
		return this.renewedJobs;
	}

	List<JobOrder> orders() {
		return List.copyOf(this.orders.values());
	}

	private record OrderKey(JobId job, long leaseEpoch, JobOrderKind kind) {

	}

}
