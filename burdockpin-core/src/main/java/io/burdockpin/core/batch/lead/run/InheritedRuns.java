package io.burdockpin.core.batch.lead.run;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.burdockpin.core.batch.model.TaskId;

/**
 * Runs that were ordered to earlier incarnations of a runner. A start that was on its way
 * when the runner started again may be carried out by the present incarnation. Each run
 * is therefore stopped there, which also refuses it from then on, before its task is
 * started again. Not thread-safe; owned by a {@link RunnerSession}.
 */
final class InheritedRuns {

	private final Map<TaskId, InheritedRun> runs = new LinkedHashMap<>();

	/**
	 * Adds a run.
	 * @param task task of the run
	 * @param number number of the run
	 * @param untilMillis monotonic time from which the run counts as ended if the runner
	 * does not answer
	 */
	void add(TaskId task, int number, long untilMillis) {
		this.runs.put(task, new InheritedRun(number, untilMillis));
	}

	/**
	 * Adds all runs of an earlier incarnation that are still open.
	 * @param earlier runs that the earlier incarnation had inherited
	 */
	void addAll(InheritedRuns earlier) {
		earlier.runs.forEach((task, run) -> add(task, run.number, run.untilMillis));
	}

	boolean isEmpty() {
		return this.runs.isEmpty();
	}

	/**
	 * Returns the tasks that must not be started yet.
	 * @return live view
	 */
	Set<TaskId> tasks() {
		return this.runs.keySet();
	}

	Optional<RunnerOrder.Stop> nextStop(long fencingToken, long nowMillis) {
		for (Map.Entry<TaskId, InheritedRun> entry : this.runs.entrySet()) {
			if (entry.getValue().needsStop(nowMillis)) {
				return Optional.of(new RunnerOrder.Stop(fencingToken, entry.getKey(), entry.getValue().number));
			}
		}
		return Optional.empty();
	}

	/**
	 * Handles the reply to a stop.
	 * @param stop the stop, of any run
	 * @param isClosed whether the runner has accepted it
	 * @param heartbeatNumber number of the latest heartbeat
	 * @param retryMillis monotonic time of the next attempt
	 */
	void onStopReply(RunnerOrder.Stop stop, boolean isClosed, long heartbeatNumber, long retryMillis) {
		Optional.ofNullable(this.runs.get(stop.task())).filter((run) -> run.number == stop.run()).ifPresent((run) -> {
			run.nextTryMillis = retryMillis;
			run.closedAtHeartbeat = isClosed ? OptionalLong.of(heartbeatNumber) : run.closedAtHeartbeat;
		});
	}

	/**
	 * Removes the runs that have ended, or were not begun, according to a listing.
	 * @param listing listing of the runner
	 * @param heartbeatNumber number of the heartbeat that it answers
	 */
	void onListing(RunnerReply.Listing listing, long heartbeatNumber) {
		this.runs.entrySet()
			.removeIf((entry) -> entry.getValue().isClosedBefore(heartbeatNumber) && listing.running()
				.stream()
				.noneMatch((running) -> running.task().equals(entry.getKey())
						&& running.run() == entry.getValue().number));
	}

	void removeExpired(long nowMillis) {
		this.runs.values().removeIf((run) -> nowMillis >= run.untilMillis);
	}

	private static final class InheritedRun {

		private final int number;

		private final long untilMillis;

		private long nextTryMillis;

		/** Number of the latest heartbeat when the runner accepted the stop. */
		private OptionalLong closedAtHeartbeat = OptionalLong.empty();

		private InheritedRun(int number, long untilMillis) {
			this.number = number;
			this.untilMillis = untilMillis;
		}

		private boolean needsStop(long nowMillis) {
			return this.closedAtHeartbeat.isEmpty() && nowMillis >= this.nextTryMillis;
		}

		private boolean isClosedBefore(long heartbeatNumber) {
			return this.closedAtHeartbeat.isPresent() && heartbeatNumber > this.closedAtHeartbeat.getAsLong();
		}

	}

}
