package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.TaskId;

/**
 * Keeps the tail latency of the serving tasks of one runner below their targets by the
 * pace of the tasks that fill beside them: halves the pace while a target is in danger
 * and raises it in steps while all have room. Mutable; belongs to a session.
 */
final class BestEffortThrottle {

	static final int FULL_PERCENT = 100;

	/** Share of a target above which the tail is about to exceed it. */
	private static final double HIGH_LATENCY_SHARE = 0.9;

	/** Share of a target below which the filling tasks may work faster. */
	private static final double LOW_LATENCY_SHARE = 0.7;

	/** A listing comes about each second, so a full recovery takes some seconds. */
	private static final int INCREASE_PERCENT = 20;

	/** Below this pace a filling task is halted: it does little and still disturbs. */
	private static final int MINIMUM_PERCENT = 10;

	/** What the runner has confirmed; nothing is known of runs of an earlier leader. */
	private final Map<TaskId, Integer> confirmedPercents = new HashMap<>();

	private int percent = FULL_PERCENT;

	private long adjustedMillis;

	/**
	 * Adjusts the pace after a listing.
	 * @param runs the listed runs that are known
	 * @param nowMillis the time
	 * @param periodMillis shortest time between two changes, so that the figures of the
	 * runner reflect the last one
	 */
	void observe(List<RunProgress> runs, long nowMillis, int periodMillis) {
		this.confirmedPercents.keySet()
			.removeIf((task) -> runs.stream().noneMatch((progress) -> progress.run().task().equals(task)));
		if (nowMillis - this.adjustedMillis < periodMillis) {
			return;
		}
		this.adjustedMillis = nowMillis;
		double worst = runs.stream().mapToDouble(RunProgress::targetUtilization).max().orElse(0);
		if (worst > HIGH_LATENCY_SHARE) {
			this.percent = (this.percent / 2 < MINIMUM_PERCENT) ? 0 : this.percent / 2;
		}
		else if (worst < LOW_LATENCY_SHARE) {
			this.percent = Math.min(FULL_PERCENT, this.percent + INCREASE_PERCENT);
		}
	}

	/**
	 * Finds a filling task that does not work at the pace that was decided.
	 * @param runs the runs on the runner
	 * @param nowMillis the time
	 * @return the run and its pace
	 */
	Optional<RunProgress> nextOutdatedRun(Iterable<RunProgress> runs, long nowMillis) {
		for (RunProgress progress : runs) {
			boolean isOutdated = progress.needsThrottle(nowMillis) && this.confirmedPercents
				.getOrDefault(progress.run().task(), initialPercent(progress)) != this.percent;
			if (isOutdated) {
				return Optional.of(progress);
			}
		}
		return Optional.empty();
	}

	int percent() {
		return this.percent;
	}

	/**
	 * Takes note that the runner has accepted a pace.
	 * @param task the task
	 * @param acceptedPercent its pace
	 */
	void confirm(TaskId task, int acceptedPercent) {
		this.confirmedPercents.put(task, acceptedPercent);
	}

	// A runner starts tasks at full pace; an earlier leader may have changed it since.
	private static int initialPercent(RunProgress progress) {
		return progress.isAdopted() ? -1 : FULL_PERCENT;
	}

}
