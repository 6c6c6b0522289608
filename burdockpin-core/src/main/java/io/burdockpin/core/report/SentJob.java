package io.burdockpin.core.report;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.model.Resources;

/**
 * What the leader has been told of the usage of one job. Immutable.
 *
 * @param leaseEpoch the epoch under which it runs
 * @param firstSeenMillis when it was first reported here
 * @param largest the largest usage that was sent
 * @param settled whether usage was sent after the leader began to learn from it
 */
record SentJob(long leaseEpoch, long firstSeenMillis, Resources largest, boolean settled) {

	/**
	 * The leader learns nothing from usage in the first 10 s of a job. The rest covers
	 * the time until it has recorded the start.
	 */
	private static final long SETTLE_MILLIS = 12_000;

	/**
	 * The leader adds a headroom of a tenth to the largest usage that it knows, so its
	 * estimate is never below what a job has shown.
	 */
	private static final int GROWTH_DIVISOR = 10;

	private static final int SMALLEST_CPU_MILLICORES = 20;

	private static final int SMALLEST_MEMORY_MEBIBYTES = 16;

	static SentJob first(JobReport job, long nowMillis) {
		return new SentJob(job.leaseEpoch(), nowMillis, job.usage(), false);
	}

	SentJob sent(JobReport job, long nowMillis) {
		if (job.leaseEpoch() != this.leaseEpoch) {
			return first(job, nowMillis);
		}
		boolean nowSettled = nowMillis - this.firstSeenMillis >= SETTLE_MILLIS;
		boolean startsAnew = nowSettled && !this.settled;
		return new SentJob(this.leaseEpoch, this.firstSeenMillis,
				startsAnew ? job.usage() : largest(this.largest, job.usage()), nowSettled);
	}

	SentJob unsent() {
		return new SentJob(this.leaseEpoch, this.firstSeenMillis, Resources.NONE, false);
	}

	boolean isNoticeable(JobReport job, long nowMillis) {
		boolean settles = !this.settled && nowMillis - this.firstSeenMillis >= SETTLE_MILLIS;
		Resources usage = job.usage();
		return settles || usage.accelerators() > this.largest.accelerators()
				|| hasGrown(usage.cpuMillicores(), this.largest.cpuMillicores(), SMALLEST_CPU_MILLICORES)
				|| hasGrown(usage.memoryMebibytes(), this.largest.memoryMebibytes(), SMALLEST_MEMORY_MEBIBYTES);
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
