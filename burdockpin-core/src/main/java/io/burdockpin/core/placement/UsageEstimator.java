package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Corrects declared sizes and run times by the observed usage of finished jobs of the
 * same team and size class. Not replicated: a leader without observations uses the
 * declarations. Not thread-safe; owned by one planner.
 */
public final class UsageEstimator implements RemainingTimeEstimator {

	/** Usage reported earlier after a start is not yet representative of the job. */
	private static final long USAGE_LAG_MILLIS = 10_000;

	/** Headroom on the peak usage of a running job, which may still grow. */
	private static final double HEADROOM_FACTOR = 1.1;

	/** Limits the effect of a single wrong report on the estimate. */
	private static final double MINIMUM_RATIO = 0.05;

	private static final double MAXIMUM_RATIO = 20;

	/**
	 * Larger than the millicores or MiB of any host; keeps corrected sizes within the
	 * range of {@code int}.
	 */
	private static final long MAXIMUM_AMOUNT = 4_000_000;

	private final Map<JobSizeClass, Correction> corrections = new HashMap<>();

	private final Map<JobId, Peak> peaks = new HashMap<>();

	// life cycle

	/**
	 * Records the reported usage of a running job.
	 * @param job the replicated record of the job
	 * @param usage the usage that the worker reports for the job
	 * @param nowMillis when the report arrived
	 */
	public void recordUsage(JobRecord job, Resources usage, long nowMillis) {
		if (nowMillis - job.changedMillis() < USAGE_LAG_MILLIS || usage.equals(Resources.NONE)) {
			return;
		}
		this.peaks.merge(job.id(), new Peak(job.leaseEpoch(), usage), Peak::merge);
	}

	/**
	 * Records the end of a job.
	 * @param job the replicated record of the job
	 * @param completed whether the job ran to completion, so that its run time is used
	 * @param nowMillis when the job ended
	 */
	public void recordEnd(JobRecord job, boolean completed, long nowMillis) {
		Correction correction = this.corrections.computeIfAbsent(JobSizeClass.of(job.spec()),
				(key) -> new Correction());
		Peak peak = this.peaks.remove(job.id());
		if (peak != null) {
			correction.addUsage(job.spec().resources(), peak.usage());
		}
		if (completed) {
			correction.runTimes.add(ratio(nowMillis - job.changedMillis(), job.spec().runMillis()));
		}
	}

	/**
	 * Removes the peaks of jobs that no longer hold capacity.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.peaks.keySet().removeIf((id) -> jobs.find(id).filter((job) -> job.state().holdsCapacity()).isEmpty());
	}

	// access

	/**
	 * Returns the expected usage of a waiting job.
	 * @param spec the declaration of the job
	 * @return the corrected size, at least one millicore and one MiB if a correction
	 * applies
	 */
	public Resources expectedUsage(JobSpec spec) {
		Correction correction = this.corrections.get(JobSizeClass.of(spec));
		return (correction != null) ? correction.apply(spec.resources()) : spec.resources();
	}

	/**
	 * Returns the expected usage of a placed job: its own peak plus headroom if usage has
	 * been recorded for it, otherwise the estimate for its size class.
	 * @param job the replicated record of the job
	 * @return the expected usage
	 */
	public Resources expectedUsage(JobRecord job) {
		Peak peak = this.peaks.get(job.id());
		if (peak == null || peak.leaseEpoch() != job.leaseEpoch()) {
			return expectedUsage(job.spec());
		}
		Resources declared = job.spec().resources();
		return new Resources(scaled(peak.usage().cpuMillicores(), HEADROOM_FACTOR),
				scaled(peak.usage().memoryMebibytes(), HEADROOM_FACTOR), declared.accelerators());
	}

	/**
	 * Returns the expected total run time of a job.
	 * @param spec the declaration of the job
	 * @return the corrected run time in milliseconds
	 */
	public long expectedRunMillis(JobSpec spec) {
		return RunTimeFactors.corrected(spec, runTimeFactor(JobSizeClass.of(spec)));
	}

	@Override
	public long expectedRemainingMillis(JobRecord job, long nowMillis) {
		return RunTimeFactors.remaining(job, expectedRunMillis(job.spec()), nowMillis);
	}

	/**
	 * Returns a snapshot of the run time corrections, which may be passed to another
	 * actor.
	 * @return an immutable copy
	 */
	public RunTimeFactors runTimeFactors() {
		Map<JobSizeClass, Double> factors = new HashMap<>();
		this.corrections.keySet().forEach((key) -> factors.put(key, runTimeFactor(key)));
		return new RunTimeFactors(factors);
	}

	// helpers

	private double runTimeFactor(JobSizeClass key) {
		Correction correction = this.corrections.get(key);
		return (correction != null) ? correction.runTimes.quantile() : 1;
	}

	private static double ratio(long observed, long declared) {
		double ratio = (double) observed / Math.max(1, declared);
		return Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio));
	}

	private static int scaled(int value, double factor) {
		long scaled = Math.min(MAXIMUM_AMOUNT, Math.round(value * factor));
		return (int) Math.max(1, scaled);
	}

	private static final class Correction {

		private final RatioWindow cpu = new RatioWindow();

		private final RatioWindow memory = new RatioWindow();

		private final RatioWindow runTimes = new RatioWindow();

		private void addUsage(Resources declared, Resources used) {
			this.cpu.add(ratio(used.cpuMillicores(), declared.cpuMillicores()));
			this.memory.add(ratio(used.memoryMebibytes(), declared.memoryMebibytes()));
		}

		private Resources apply(Resources declared) {
			return new Resources(scaled(declared.cpuMillicores(), this.cpu.quantile()),
					scaled(declared.memoryMebibytes(), this.memory.quantile()), declared.accelerators());
		}

	}

	private record Peak(long leaseEpoch, Resources usage) {

		private Peak merge(Peak newer) {
			if (newer.leaseEpoch() != this.leaseEpoch()) {
				return newer;
			}
			Resources first = this.usage;
			Resources second = newer.usage;
			return new Peak(this.leaseEpoch,
					new Resources(Math.max(first.cpuMillicores(), second.cpuMillicores()),
							Math.max(first.memoryMebibytes(), second.memoryMebibytes()),
							Math.max(first.accelerators(), second.accelerators())));
		}

	}

}
