package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Opens the occurrences of scheduled jobs when they are due. Not thread-safe; owned by
 * the leader.
 */
final class OccurrenceOpener {

	private final BatchState state;

	/** Number of the latest proposed occurrence, by job. */
	private final Map<String, Integer> openedOccurrences = new HashMap<>();

	OccurrenceOpener(BatchState state) {
		this.state = state;
	}

	/**
	 * Returns the commands that open what is due, each once. A job whose open occurrences
	 * take as much of a member as they may waits until one of them is done.
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return commands to commit
	 */
	List<BatchCommand> takeDue(long wallMillis) {
		List<BatchCommand> due = new ArrayList<>();
		for (BatchJob job : this.state.activeJobs()) {
			int next = job.nextOccurrence();
			boolean isDue = job.spec().hasSchedule() && job.occurrences().size() < job.size().openOccurrences()
					&& next < job.spec().totalOccurrences()
					&& wallMillis >= job.spec().dueMillis(next, job.acceptedMillis());
			if (isDue && this.openedOccurrences.getOrDefault(job.id(), -1) < next) {
				this.openedOccurrences.put(job.id(), next);
				due.add(new BatchCommand.OpenOccurrence(job.id(), next));
			}
		}
		this.openedOccurrences.keySet().removeIf((id) -> this.state.job(id).isEmpty());
		return due;
	}

}
