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

	private final Map<HostName, Sighting> sightings = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param settings the periods
	 */
	public WorkerTable(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Forgets all workers, as a new leader does. */
	public void restart() {
		this.sightings.clear();
	}

	/**
	 * Takes a report.
	 * @param report the report
	 * @param nowMillis when it arrived
	 */
	public void observe(WorkerReport report, long nowMillis) {
		this.sightings.put(report.worker(), new Sighting(report.bootId(), report.usage(), nowMillis));
	}

	// access

	/**
	 * Tells whether a worker reported recently enough to be given jobs.
	 * @param worker the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if it is live
	 */
	public boolean isLive(HostName worker, long nowMillis) {
		Sighting sighting = this.sightings.get(worker);
		return sighting != null && nowMillis - sighting.reportedMillis() <= this.settings.liveMillis();
	}

	/**
	 * Returns what a worker reported last.
	 * @param worker the worker
	 * @return the report, or nothing if this leader has not heard of the worker
	 */
	public Optional<Sighting> lastOf(HostName worker) {
		return Optional.ofNullable(this.sightings.get(worker));
	}

	/**
	 * The last report of a worker.
	 *
	 * @param bootId changes when the host reboots
	 * @param usage what its jobs use
	 * @param reportedMillis when the report arrived
	 */
	public record Sighting(String bootId, Resources usage, long reportedMillis) {
	}

}
