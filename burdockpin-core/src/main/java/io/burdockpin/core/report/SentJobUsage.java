package io.burdockpin.core.report;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.model.Resources;

/**
 * Usage of one job that has been sent to the leader. Immutable.
 *
 * @param leaseEpoch the lease epoch of the job
 * @param firstReportedMillis when the job was first reported to this entry host
 * @param largest the largest usage that was sent, per resource
 * @param sentAfterSettling whether usage was sent after the settle time, when the leader
 * uses it for its estimates
 */
record SentJobUsage(long leaseEpoch, long firstReportedMillis, Resources largest, boolean sentAfterSettling) {

	/**
	 * The leader ignores usage from the first 10 s of a job. The other 2 s cover the
	 * delay until the leader has recorded the start.
	 */
	private static final long SETTLE_MILLIS = 12_000;

	/**
	 * Growth of more than a tenth is sent. The leader adds a headroom of a tenth to the
	 * largest usage that it knows, so its estimate is never below the observed usage.
	 */
	private static final int GROWTH_DIVISOR = 10;

	private static final int MINIMUM_CPU_GROWTH_MILLICORES = 20;

	private static final int MINIMUM_MEMORY_GROWTH_MEBIBYTES = 16;

	static SentJobUsage first(JobReport job, long nowMillis) {
		return new SentJobUsage(job.leaseEpoch(), nowMillis, job.usage(), false);
	}

	SentJobUsage withSent(JobReport job, long nowMillis) {
		if (job.leaseEpoch() != this.leaseEpoch) {
			return first(job, nowMillis);
		}
		boolean nowSettled = nowMillis - this.firstReportedMillis >= SETTLE_MILLIS;
		boolean startsAnew = nowSettled && !this.sentAfterSettling;
		return new SentJobUsage(this.leaseEpoch, this.firstReportedMillis,
				startsAnew ? job.usage() : largest(this.largest, job.usage()), nowSettled);
	}

	SentJobUsage withoutSent() {
		return new SentJobUsage(this.leaseEpoch, this.firstReportedMillis, Resources.NONE, false);
	}

	boolean isReportable(JobReport job, long nowMillis) {
		boolean settles = !this.sentAfterSettling && nowMillis - this.firstReportedMillis >= SETTLE_MILLIS;
		Resources usage = job.usage();
		return settles || usage.accelerators() > this.largest.accelerators()
				|| hasGrown(usage.cpuMillicores(), this.largest.cpuMillicores(), MINIMUM_CPU_GROWTH_MILLICORES)
				|| hasGrown(usage.memoryMebibytes(), this.largest.memoryMebibytes(), MINIMUM_MEMORY_GROWTH_MEBIBYTES);
	}

	private static boolean hasGrown(int value, int sent, int smallest) {
		return value - sent > Math.max(smallest, sent / GROWTH_DIVISOR);
	}

	private static Resources largest(Resources first, Resources second) {
		return new Resources(Math.max(first.cpuMillicores(), second.cpuMillicores()),
				Math.max(first.memoryMebibytes(), second.memoryMebibytes()),
				Math.max(first.accelerators(), second.accelerators()));
	}

}
