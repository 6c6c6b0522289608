package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Resources;

/**
 * Table of the last report of each worker. Not thread-safe; owned by one planner.
 */
public final class WorkerTable {

	private final LeaseSettings settings;

	private final Map<HostName, LastReport> lastReports = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param settings the liveness timeout
	 */
	public WorkerTable(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Removes all workers at the start of a new term. */
	public void reset() {
		this.lastReports.clear();
	}

	/**
	 * Records a report.
	 * @param report the report of a worker
	 * @param nowMillis when the report arrived
	 */
	public void recordReport(WorkerReport report, long nowMillis) {
		this.lastReports.put(report.worker(), new LastReport(report.bootId(), report.usage(), nowMillis));
	}

	// access

	/**
	 * Returns whether a worker has reported within the liveness timeout.
	 * @param worker the host name of the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if the worker is live
	 */
	public boolean isLive(HostName worker, long nowMillis) {
		LastReport last = this.lastReports.get(worker);
		return last != null && nowMillis - last.reportedMillis() <= this.settings.livenessTimeoutMillis();
	}

	/**
	 * Returns the last report of a worker.
	 * @param worker the host name of the worker
	 * @return the report, or empty if the worker has not reported in this term
	 */
	public Optional<LastReport> lastReport(HostName worker) {
		return Optional.ofNullable(this.lastReports.get(worker));
	}

	/**
	 * Last report of a worker.
	 *
	 * @param bootId identifier of the boot; changes when the host reboots
	 * @param usage total usage of the jobs on the worker
	 * @param reportedMillis when the report arrived
	 */
	public record LastReport(String bootId, Resources usage, long reportedMillis) {
	}

}
