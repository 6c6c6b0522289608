package io.burdockpin.core.batch.lead.plan;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchJob;

/**
 * Tells which jobs a workspace submitted beyond its weight. Load: one workspace submits
 * several times its usual number of jobs for some seconds, while the pool is full.
 * <p>
 * Each workspace may submit {@code weight} jobs a second, averaged over some seconds.
 * Jobs beyond that come after the others in a pool that lacks capacity, so a share that
 * nobody uses is lent at once. The jobs without a workspace, which were submitted to open
 * queues without a key, count as those of one workspace with the weight of all others
 * together, since nothing tells their callers apart.
 * <p>
 * The result follows from the times of acceptance in the replicated state alone, so each
 * leader comes to the same one.
 */
final class WorkspaceShares {

	/** A workspace may submit the jobs of this period at once. */
	private static final int AVERAGING_SECONDS = 5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Set<String> beyondWeight;

	private WorkspaceShares(Set<String> beyondWeight) {
		this.beyondWeight = beyondWeight;
	}

	/**
	 * Examines the recent jobs.
	 * @param jobs jobs of the replicated state, including ended ones
	 * @param configuration configuration with the weights of the workspaces
	 * @return the shares at this time
	 */
	static WorkspaceShares of(Collection<BatchJob> jobs, FleetConfiguration configuration) {
		Map<String, Allowance> allowances = new HashMap<>();
		double sum = 0;
		for (Workspace workspace : configuration.workspaces()) {
			allowances.put(workspace.name(), new Allowance(workspace.weight()));
			sum += workspace.weight();
		}
		allowances.put("", new Allowance(sum));
		Set<String> beyond = new HashSet<>();
		List<BatchJob> inOrder = jobs.stream()
			.filter((job) -> !job.spec().isLongRunning())
			.sorted(Comparator.comparingLong(BatchJob::acceptedMillis).thenComparing(BatchJob::id))
			.toList();
		for (BatchJob job : inOrder) {
			// The configuration may no longer have the workspace.
			Allowance allowance = allowances.computeIfAbsent(job.workspace(), (name) -> new Allowance(0));
			if (!allowance.take(job.acceptedMillis())) {
				beyond.add(job.id());
			}
		}
		return new WorkspaceShares(beyond);
	}

	/**
	 * Tells whether a job was submitted beyond the weight of its workspace.
	 * @param job job of the replicated state
	 * @return {@code true} if it comes after the jobs within the weights
	 */
	boolean isBeyondWeight(BatchJob job) {
		return this.beyondWeight.contains(job.id());
	}

	/** Token bucket of one workspace. */
	private static final class Allowance {

		private final double perSecond;

		private double jobs;

		private long takenMillis = Long.MIN_VALUE;

		private Allowance(double perSecond) {
			this.perSecond = perSecond;
		}

		private boolean take(long atMillis) {
			double maximum = this.perSecond * AVERAGING_SECONDS;
			double elapsedSeconds = (this.takenMillis == Long.MIN_VALUE) ? AVERAGING_SECONDS
					: (atMillis - this.takenMillis) / MILLIS_PER_SECOND;
			this.jobs = Math.min(maximum, this.jobs + elapsedSeconds * this.perSecond);
			this.takenMillis = atMillis;
			if (this.jobs < 1) {
				return false;
			}
			this.jobs--;
			return true;
		}

	}

}
