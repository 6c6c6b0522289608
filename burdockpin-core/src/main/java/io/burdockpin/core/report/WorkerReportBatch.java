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
 * A batch on its way to the leader. Immutable.
 *
 * @param message the batch, without a number for the message
 * @param namedReports the newest report of each worker that the batch names as live
 */
public record WorkerReportBatch(WorkerReports message, List<WorkerReport> namedReports) {

	public WorkerReportBatch {
		namedReports = List.copyOf(namedReports);
	}

	/**
	 * Writes out the orders that an answer only implies.
	 * @param answer the answer to this batch
	 * @return one order for each worker that is told something
	 */
	public List<WorkerOrder> expandOrders(WorkerOrders answer) {
		List<WorkerOrder> orders = new ArrayList<>(answer.orders());
		if (!answer.resend()) {
			Map<HostName, WorkerOrder> explicit = answer.orders()
				.stream()
				.collect(Collectors.toMap(WorkerOrder::worker, (order) -> order, (first, second) -> first));
			this.namedReports.stream()
				.filter((report) -> !explicit.containsKey(report.worker()))
				.map((report) -> new WorkerOrder(report.worker(), report.sequence(), answer.leaseMillis(),
						report.runningJobs(), List.of()))
				.forEach(orders::add);
		}
		return orders;
	}

}
