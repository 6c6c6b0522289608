package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.ToIntFunction;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Estimates when runs end and when moved hosts arrive, from measured durations, the times
 * of assignment and the listed progress. Not thread-safe; owned by the leader.
 */
public final class RunEndEstimator implements ExpectedCapacity {

	private static final int ALL_PERCENT = 100;

	private final BatchState state;

	private final DurationEstimator durations;

	private final OptionalDouble remoteFactor;

	private final int hostMoveMillis;

	private final Function<Run, OptionalLong> assignedMillis;

	private final ToIntFunction<Run> percent;

	/** The last runner of each host, since a host that moves has none. */
	private final Map<String, RunnerRecord> lastRunners = new HashMap<>();

	private long nowMillis;

	private long wallMillis;

	/**
	 * Creates an estimator.
	 * @param state replicated state
	 * @param durations estimator for task durations
	 * @param remoteFactor how many times as long a task takes far from its data; empty if
	 * not known
	 * @param hostMoveMillis time from the order of a move until the runner accepts tasks
	 * @param assignedMillis finds the monotonic time of the assignment of a run, empty if
	 * an earlier leader assigned it
	 * @param percent returns the listed progress of a run in percent, 0 if not known
	 */
	public RunEndEstimator(BatchState state, DurationEstimator durations, OptionalDouble remoteFactor,
			int hostMoveMillis, Function<Run, OptionalLong> assignedMillis, ToIntFunction<Run> percent) {
		this.state = state;
		this.durations = durations;
		this.remoteFactor = remoteFactor;
		this.hostMoveMillis = hostMoveMillis;
		this.assignedMillis = assignedMillis;
		this.percent = percent;
	}

	/**
	 * Sets the time of the estimates.
	 * @param newNowMillis current monotonic time, in milliseconds
	 * @param newWallMillis current wall-clock time, in milliseconds since the epoch
	 */
	public void setTime(long newNowMillis, long newWallMillis) {
		this.nowMillis = newNowMillis;
		this.wallMillis = newWallMillis;
	}

	/**
	 * Handles a runner that was registered.
	 * @param runner the runner, which tells the rack and the capacity of its host
	 */
	public void onRegistered(RunnerRecord runner) {
		this.lastRunners.put(runner.hostOrId(), runner);
	}

	/**
	 * Returns the duration that a measured run would have had near its data.
	 * @param spec step of the run
	 * @param runner runner of the run
	 * @param measuredMillis measured duration, in milliseconds
	 * @return duration in milliseconds
	 */
	public long nearMillis(StepSpec spec, RunnerKey runner, long measuredMillis) {
		return Math.round(measuredMillis / factor(spec, runner));
	}

	@Override
	public OptionalLong remainingMillis(Run run) {
		Optional<StepSpec> spec = this.state.step(run.task()).map(StepTasks::spec);
		Optional<BatchJob> job = this.state.job(run.task().job());
		if (spec.isEmpty() || spec.get().longRunning() || job.flatMap(BatchJob::address).isEmpty()) {
			return OptionalLong.empty();
		}
		long nearMillis = this.durations.estimateMillis(job.get().address().get(), spec.get().estimatedMillis());
		if (nearMillis <= 0) {
			return OptionalLong.empty();
		}
		long expectedMillis = Math.round(nearMillis * factor(spec.get(), run.runner()));
		OptionalLong assigned = this.assignedMillis.apply(run);
		OptionalLong elapsedMillis = assigned.isPresent() ? OptionalLong.of(this.nowMillis - assigned.getAsLong())
				: OptionalLong.empty();
		return OptionalLong.of(remainingMillis(expectedMillis, elapsedMillis, this.percent.applyAsInt(run)));
	}

	/**
	 * Estimates the remaining time of a run. A run that has taken longer than expected is
	 * taken to be in the middle of its duration unless its progress is known.
	 * @param expectedMillis expected duration, in milliseconds
	 * @param elapsedMillis time since its assignment, in milliseconds; empty if not known
	 * @param percent listed progress in percent, 0 if not known
	 * @return milliseconds from now
	 */
	static long remainingMillis(long expectedMillis, OptionalLong elapsedMillis, int percent) {
		if (elapsedMillis.isEmpty()) {
			return expectedMillis * (ALL_PERCENT - percent) / ALL_PERCENT;
		}
		long elapsed = elapsedMillis.getAsLong();
		if (elapsed < expectedMillis) {
			return expectedMillis - elapsed;
		}
		return (percent > 0) ? elapsed * (ALL_PERCENT - percent) / percent : elapsed;
	}

	@Override
	public List<Arrival> arrivals() {
		List<Arrival> arrivals = new ArrayList<>();
		for (HostMove move : this.state.moves().values()) {
			long remainingMillis = this.state.lastHostOrderMillis(move.host()) + this.hostMoveMillis - this.wallMillis;
			RunnerRecord last = this.lastRunners.get(move.host());
			// A host that has not arrived after twice the usual time may not come at all.
			if (last != null && remainingMillis > -this.hostMoveMillis
					&& !this.state.hasUnfinishedMaintenance(move.host()) && !this.state.isClosed(last.dataCentre())) {
				arrivals.add(new Arrival(last, move.pool(), Math.max(0, remainingMillis)));
			}
		}
		return arrivals;
	}

	private double factor(StepSpec spec, RunnerKey runner) {
		boolean isFar = spec.dataRack().isPresent()
				&& this.state.runner(runner).filter((known) -> known.rack().equals(spec.dataRack())).isEmpty();
		return isFar ? Math.max(1, this.remoteFactor.orElse(1)) : 1;
	}

}
