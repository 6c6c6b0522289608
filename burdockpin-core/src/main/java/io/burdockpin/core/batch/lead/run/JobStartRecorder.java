package io.burdockpin.core.batch.lead.run;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Records which jobs have started: a job counts as waiting until a runner has confirmed
 * or listed a run of one of its tasks. Reads the replicated state. Not thread-safe; owned
 * by the leader.
 */
public final class JobStartRecorder {

	/**
	 * Callers accept a number of waiting jobs that is 2 s old, so starts share log
	 * entries.
	 */
	private static final int RECORD_PERIOD_MILLIS = 500;

	private final BatchState state;

	/** Jobs whose start is not proposed yet, by the runner that reported it. */
	private final Map<RunnerKey, Set<String>> reportedJobs = new LinkedHashMap<>();

	/** Jobs whose start was reported and is not committed. */
	private final Set<String> pendingJobs = new HashSet<>();

	private long recordedMillis;

	public JobStartRecorder(BatchState state) {
		this.state = state;
	}

	/**
	 * Handles the reply of a runner to an order.
	 * @param runner incarnation of the runner
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 */
	public void onReply(RunnerKey runner, RunnerOrder order, RunnerReply reply) {
		if (order instanceof RunnerOrder.Start start && reply instanceof RunnerReply.Accepted) {
			onStarted(runner, start.task());
		}
		else if (reply instanceof RunnerReply.Listing listing) {
			listing.running().forEach((running) -> onStarted(runner, running.task()));
		}
	}

	/**
	 * Returns and clears the starts to commit, at most once per period.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return commands to commit, empty if none is due
	 */
	public List<BatchCommand> takeDue(long nowMillis) {
		if (nowMillis - this.recordedMillis < RECORD_PERIOD_MILLIS) {
			return List.of();
		}
		this.recordedMillis = nowMillis;
		this.reportedJobs.values().forEach((jobs) -> jobs.removeIf((job) -> !isQueued(job)));
		List<BatchCommand> due = this.reportedJobs.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isEmpty())
			.<BatchCommand>map(
					(entry) -> new BatchCommand.NoteEnds(entry.getKey(), List.of(), List.copyOf(entry.getValue())))
			.toList();
		this.reportedJobs.clear();
		this.pendingJobs.removeIf((job) -> !isQueued(job));
		return due;
	}

	private void onStarted(RunnerKey runner, TaskId task) {
		// A runner may list tasks that do not exist.
		if (isQueued(task.job()) && this.state.step(task).isPresent() && this.pendingJobs.add(task.job())) {
			this.reportedJobs.computeIfAbsent(runner, (key) -> new LinkedHashSet<>()).add(task.job());
		}
	}

	private boolean isQueued(String job) {
		return this.state.job(job).filter((known) -> known.phase() == BatchJobPhase.QUEUED).isPresent();
	}

}
