package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Jobs of one view by identifier and, while they hold capacity, by worker. Not changed
 * after its creation.
 */
public final class JobIndex {

	private final Map<JobId, JobRecord> byId;

	private final Map<HostName, List<JobRecord>> byWorker;

	private JobIndex(Map<JobId, JobRecord> byId, Map<HostName, List<JobRecord>> byWorker) {
		this.byId = byId;
		this.byWorker = byWorker;
	}

	// life cycle

	/**
	 * Indexes jobs.
	 * @param jobs the jobs
	 * @return the index
	 */
	public static JobIndex of(List<JobRecord> jobs) {
		Map<JobId, JobRecord> byId = new HashMap<>(2 * jobs.size());
		Map<HostName, List<JobRecord>> byWorker = new HashMap<>();
		for (JobRecord job : jobs) {
			byId.put(job.id(), job);
			if (job.state().holdsCapacity()) {
				job.worker().ifPresent((worker) -> addTo(byWorker, worker, job));
			}
		}
		return new JobIndex(byId, byWorker);
	}

	// access

	/**
	 * Finds a job.
	 * @param job the identifier
	 * @return its record, or nothing if the view does not hold it
	 */
	public Optional<JobRecord> find(JobId job) {
		return Optional.ofNullable(this.byId.get(job));
	}

	/**
	 * Returns the jobs that hold capacity on a worker.
	 * @param worker the worker
	 * @return the jobs, in the order of the view
	 */
	public List<JobRecord> placedOn(HostName worker) {
		return this.byWorker.getOrDefault(worker, List.of());
	}

	// helpers

	private static void addTo(Map<HostName, List<JobRecord>> byWorker, HostName worker, JobRecord job) {
		byWorker.computeIfAbsent(worker, (name) -> new ArrayList<>()).add(job);
	}

}
