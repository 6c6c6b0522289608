package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Decides whether a start order may be sent or repeated without running a job twice. Not
 * thread-safe; owned by one planner.
 * <p>
 * A worker ignores repeated start orders for the same lease epoch, but loses this
 * knowledge when it reboots. A job that is not repeatable is therefore started only by
 * the leader that placed it, and only on the boot that the first start order was sent to.
 */
public final class StartGuard {

	private static final String NO_BOOT = "";

	private final Map<JobId, Start> starts = new HashMap<>();

	// life cycle

	/** Discards all placements at the start of a new term. */
	public void reset() {
		this.starts.clear();
	}

	/**
	 * Records a placement that this leader proposes.
	 * @param job the placed job
	 * @param leaseEpoch the lease epoch of the placement
	 */
	public void recordPlacement(JobId job, long leaseEpoch) {
		this.starts.put(job, new Start(leaseEpoch, NO_BOOT));
	}

	/**
	 * Removes a job that has started or no longer holds capacity.
	 * @param job the job to remove
	 */
	public void forget(JobId job) {
		this.starts.remove(job);
	}

	// access

	/**
	 * Returns whether a start order may be sent and, if so, records the boot that
	 * receives it.
	 * @param job the placed job
	 * @param bootId the current boot of the worker
	 * @return {@code true} if the order cannot cause a job that is not repeatable to run
	 * twice
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
