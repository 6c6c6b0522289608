package io.burdockpin.core.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.model.HostName;

/**
 * Batch of worker reports that is sent to the leader. Immutable.
 *
 * @param message the batch, without a correlation number
 * @param namedReports the newest report of each worker that the batch names as live
 */
public record WorkerReportBatch(WorkerReports message, List<WorkerReport> namedReports) {

	public WorkerReportBatch {
		namedReports = List.copyOf(namedReports);
	}

	/**
	 * Expands a reply into orders, including the lease renewals that the reply only
	 * implies.
	 * @param reply the reply to this batch
	 * @return one order for each worker with an explicit order or an implied renewal
	 */
	public List<WorkerOrder> expandOrders(WorkerOrders reply) {
		List<WorkerOrder> orders = new ArrayList<>(reply.orders());
		if (!reply.resend()) {
			Map<HostName, WorkerOrder> explicit = reply.orders()
				.stream()
				.collect(Collectors.toMap(WorkerOrder::worker, (order) -> order, (first, second) -> first));
			this.namedReports.stream()
				.filter((report) -> !explicit.containsKey(report.worker()))
				.map((report) -> new WorkerOrder(report.worker(), report.sequence(), reply.leaseMillis(),
						report.runningJobs(), List.of()))
				.forEach(orders::add);
		}
		return orders;
	}

}
