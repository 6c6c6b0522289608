package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Decides whether a start order may be sent, perhaps again. Mutable, owned by one
 * planner.
 * <p>
 * A worker ignores a second start order of the same epoch as long as it has not rebooted.
 * A job that is not repeatable is therefore started only by the leader that placed it and
 * only on the boot that got the first order.
 */
public final class StartGuard {

	private static final String NO_BOOT = "";

	private final Map<JobId, Start> starts = new HashMap<>();

	// life cycle

	/** Forgets all placements, as a new leader does. */
	public void reset() {
		this.starts.clear();
	}

	/**
	 * Records a placement that this leader proposes.
	 * @param job the job
	 * @param leaseEpoch the epoch of the placement
	 */
	public void recordPlacement(JobId job, long leaseEpoch) {
		this.starts.put(job, new Start(leaseEpoch, NO_BOOT));
	}

	/**
	 * Forgets a job that has started or no longer holds capacity.
	 * @param job the job
	 */
	public void forget(JobId job) {
		this.starts.remove(job);
	}

	// access

	/**
	 * Tells whether a start order may be sent and, if so, remembers the boot it goes to.
	 * @param job the placed job
	 * @param bootId the boot of the worker that would get the order
	 * @return {@code true} if the order cannot make the job run twice
	 */
	public boolean permitStart(JobRecord job, String bootId) {
		if (job.spec().repeatable()) {
			return true;
		}
		Start start = this.starts.get(job.id());
		if (start == null || start.leaseEpoch() != job.leaseEpoch()) {
			return false;
		}
		if (start.bootId().equals(NO_BOOT)) {
			this.starts.put(job.id(), new Start(job.leaseEpoch(), bootId));
			return true;
		}
		return start.bootId().equals(bootId);
	}

	private record Start(long leaseEpoch, String bootId) {
	}

}
