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
 * Index of the jobs of one view by identifier and, for jobs that hold capacity, by
 * worker. Effectively immutable.
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
	 * Creates an index.
	 * @param jobs the jobs of a view
	 * @return an index that does not follow later changes of the list
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
	 * Finds a job by its identifier.
	 * @param job the identifier, of a job in any state
	 * @return the record, or empty if the view does not contain the job
	 */
	public Optional<JobRecord> find(JobId job) {
		return Optional.ofNullable(this.byId.get(job));
	}

	/**
	 * Returns the jobs that hold capacity on a worker.
	 * @param worker the host name of the worker
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
