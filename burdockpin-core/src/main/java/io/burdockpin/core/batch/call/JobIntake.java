package io.burdockpin.core.batch.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.JobSize;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Bounds what accepted jobs take of the memory and the processor time of a control
 * member, whatever their callers describe. Knows the submissions that are being
 * committed, which the replicated state does not contain yet. Not thread-safe; owned by
 * the leader.
 */
public final class JobIntake {

	/** Maximum for all jobs, about 32 MB of a member's heap of 128 MB. */
	static final long MAXIMUM_UNITS = 400_000;

	/** Keeps room for the jobs of other workspaces. */
	static final long MAXIMUM_WORKSPACE_UNITS = MAXIMUM_UNITS / 2;

	/** A job needs this multiple of its own size, so that large ones leave room. */
	private static final int ROOM_FACTOR = 4;

	/** Jobs end within seconds, but the largest ones take longer. */
	private static final int RETRY_MILLIS = 2_000;

	private final Map<String, BatchCommand.SubmitJob> proposed = new HashMap<>();

	/**
	 * Checks whether a job can be stored at all.
	 * @param spec specification of the job
	 * @return {@code false} if it is refused whatever else is stored
	 */
	public static boolean isStorable(JobSpec spec) {
		return spec.size().units() <= JobSize.MAXIMUM_UNITS;
	}

	/**
	 * Checks whether there is room for a job that is not known yet.
	 * @param state replicated state
	 * @param workspace workspace of the caller; may be empty
	 * @param spec specification of the job
	 * @return delay before a retry in milliseconds if there is none, or empty
	 */
	public Optional<Integer> retryAfterMillis(BatchState state, String workspace, JobSpec spec) {
		long needed = (long) ROOM_FACTOR * spec.size().units();
		boolean hasRoom = state.jobUnits() + proposedUnits(Optional.empty()) + needed <= MAXIMUM_UNITS
				&& state.jobUnitsOf(workspace) + proposedUnits(Optional.of(workspace))
						+ needed <= MAXIMUM_WORKSPACE_UNITS;
		return hasRoom ? Optional.empty() : Optional.of(RETRY_MILLIS);
	}

	/**
	 * Checks whether a job is being committed.
	 * @param job identifier of the job
	 * @return {@code true} from its proposal until it is applied
	 */
	public boolean isProposed(String job) {
		return this.proposed.containsKey(job);
	}

	/**
	 * Handles the proposal of a submission.
	 * @param command the submission
	 */
	public void onProposed(BatchCommand.SubmitJob command) {
		this.proposed.put(command.id(), command);
	}

	/**
	 * Handles a submission that was applied to the state.
	 * @param command the submission
	 */
	public void onApplied(BatchCommand.SubmitJob command) {
		this.proposed.remove(command.id());
	}

	/** Forgets the proposals, which another leader may commit or not. */
	public void clear() {
		this.proposed.clear();
	}

	private long proposedUnits(Optional<String> workspace) {
		return this.proposed.values()
			.stream()
			.filter((command) -> workspace.isEmpty() || workspace.get().equals(command.workspace()))
			.mapToLong((command) -> command.spec().size().units())
			.sum();
	}

}
