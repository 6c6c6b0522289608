package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Corrects declared sizes and run times by what finished jobs of the same team and size
 * used. Mutable, owned by one planner. Starts from the declarations after a change of
 * leader.
 */
public final class UsageEstimator implements RemainingTimeEstimator {

	/** Usage that a worker reports earlier after a start is not yet the job's own. */
	private static final long USAGE_LAG_MILLIS = 10_000;

	/** Added to the peak that a running job has shown, because it may still grow. */
	private static final double HEADROOM_FACTOR = 1.1;

	/** One wrong report must not make a job look arbitrarily small or large. */
	private static final double MINIMUM_RATIO = 0.05;

	private static final double MAXIMUM_RATIO = 20;

	/** No host has more millicores or MiB; keeps corrected sizes in range. */
	private static final long MAXIMUM_AMOUNT = 4_000_000;

	private final Map<JobSizeClass, Correction> corrections = new HashMap<>();

	private final Map<JobId, Peak> peaks = new HashMap<>();

	// life cycle

	/**
	 * Takes the reported usage of a running job.
	 * @param job the job
	 * @param usage what the worker reports for it
	 * @param nowMillis when the report arrived
	 */
	public void recordUsage(JobRecord job, Resources usage, long nowMillis) {
		if (nowMillis - job.changedMillis() < USAGE_LAG_MILLIS || usage.equals(Resources.NONE)) {
			return;
		}
		this.peaks.merge(job.id(), new Peak(job.leaseEpoch(), usage), Peak::merge);
	}

	/**
	 * Takes the end of a job that ran.
	 * @param job the job
	 * @param completed whether it ran to its own end, so that its run time counts
	 * @param nowMillis when it ended
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
	 * Drops what is known about jobs that hold no capacity any more.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.peaks.keySet().removeIf((id) -> jobs.find(id).filter((job) -> job.state().holdsCapacity()).isEmpty());
	}

	// access

	/**
	 * Returns what a waiting job is expected to use.
	 * @param spec the declaration
	 * @return the corrected size, at least one unit of processor and memory
	 */
	public Resources expectedUsage(JobSpec spec) {
		Correction correction = this.corrections.get(JobSizeClass.of(spec));
		return (correction != null) ? correction.apply(spec.resources()) : spec.resources();
	}

	/**
	 * Returns what a placed job is expected to use: its own peak once it has reported
	 * long enough, else the estimate for its kind.
	 * @param job the job
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
	 * Returns how long a job is expected to run from its start.
	 * @param spec the declaration
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
	 * Returns the run time corrections for another actor.
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
