package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Resources;

/**
 * What each worker reported last. Mutable, owned by one planner.
 */
public final class WorkerTable {

	private final LeaseSettings settings;

	private final Map<HostName, LastReport> lastReports = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param settings the periods
	 */
	public WorkerTable(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Forgets all workers, as a new leader does. */
	public void reset() {
		this.lastReports.clear();
	}

	/**
	 * Takes a report.
	 * @param report the report
	 * @param nowMillis when it arrived
	 */
	public void recordReport(WorkerReport report, long nowMillis) {
		this.lastReports.put(report.worker(), new LastReport(report.bootId(), report.usage(), nowMillis));
	}

	// access

	/**
	 * Tells whether a worker reported recently enough to be given jobs.
	 * @param worker the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if it is live
	 */
	public boolean isLive(HostName worker, long nowMillis) {
		LastReport sighting = this.lastReports.get(worker);
		return sighting != null && nowMillis - sighting.reportedMillis() <= this.settings.livenessTimeoutMillis();
	}

	/**
	 * Returns what a worker reported last.
	 * @param worker the worker
	 * @return the report, or nothing if this leader has not heard of the worker
	 */
	public Optional<LastReport> lastReport(HostName worker) {
		return Optional.ofNullable(this.lastReports.get(worker));
	}

	/**
	 * The last report of a worker.
	 *
	 * @param bootId changes when the host reboots
	 * @param usage what its jobs use
	 * @param reportedMillis when the report arrived
	 */
	public record LastReport(String bootId, Resources usage, long reportedMillis) {
	}

}
