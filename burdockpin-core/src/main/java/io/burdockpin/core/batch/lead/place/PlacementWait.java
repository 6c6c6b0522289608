package io.burdockpin.core.batch.lead.place;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Decides whether a task that could start far from its data waits for a place near it, or
 * a gang that could start on several racks for a rack of its own. Handles a rack that
 * many jobs want, a rack that was lost, and pools that are full or nearly empty.
 * <p>
 * A wait costs the job its duration. It saves ({@code remoteFactor} - 1) x the duration
 * of the task, and in a full pool the same time on the runner once more, since other
 * tasks wait for that capacity. A job that would be in time far from its data waits only
 * for a place that is free before the wait has cost as much as it saves and before its
 * slack is used up. A job that would be late far from its data waits for any place before
 * the end of the wait. That end is fixed when the wait begins.
 *
 * @param remoteFactor how many times as long a task takes far from its data; empty if not
 * known
 */
public record PlacementWait(OptionalDouble remoteFactor) {

	/** In a full pool the time that is saved is used twice: by the job and by others. */
	private static final int FULL_GAIN = 2;

	/**
	 * The time of a job that is late either way counts for little, and its remote tasks
	 * would take capacity from jobs that can be in time. With 4 instead of 10, the full
	 * pool of {@code PlacementModelTests} serves 0.36 instead of 0.43 of its jobs in time
	 * at a factor of 3, and 0.17 if such jobs do not wait at all.
	 */
	private static final int LATE_GAIN = 10;

	/**
	 * Checks whether any task may wait.
	 * @return {@code true} if a task is known to take longer far from its data
	 */
	public boolean canPay() {
		return this.remoteFactor.orElse(1) > 1;
	}

	/**
	 * Returns the time for which a wait can pay.
	 * @param durationMillis expected duration of the task near its data, in milliseconds
	 * @param poolFull whether other tasks wait for the capacity of the pool
	 * @return milliseconds, 0 if a wait never pays
	 */
	public long gainMillis(long durationMillis, boolean poolFull) {
		double savedMillis = (this.remoteFactor.orElse(1) - 1) * durationMillis;
		return canPay() ? (long) (poolFull ? FULL_GAIN * savedMillis : savedMillis) : 0;
	}

	/**
	 * Decides about a task or gang that could start far from its data now.
	 * @param situation what the decision depends on
	 * @return the decision with its reason
	 */
	public Decision decide(Situation situation) {
		if (!canPay()) {
			return Decision.start(PlacementReason.FACTOR_UNKNOWN);
		}
		if (situation.durationMillis() <= 0) {
			return Decision.start(PlacementReason.DURATION_UNKNOWN);
		}
		if (situation.nearFreeMillis().isEmpty()) {
			return Decision.start(PlacementReason.NO_NEAR_PLACE);
		}
		long endMillis = endMillis(situation);
		if (situation.nowMillis() >= endMillis) {
			return Decision.start(PlacementReason.WAIT_ENDED);
		}
		return (situation.nearFreeMillis().getAsLong() <= limitMillis(situation))
				? new Decision(PlacementReason.WAITS, endMillis) : Decision.start(PlacementReason.NEAR_PLACE_TOO_LATE);
	}

	/**
	 * Returns the time until which a near place is worth waiting for.
	 * @param situation what the decision depends on
	 * @return milliseconds since 1970, not after the end of the wait
	 */
	long limitMillis(Situation situation) {
		boolean isInTimeIfFar = situation.slackMillis() >= gainMillis(situation.durationMillis(), false);
		if (!isInTimeIfFar) {
			return endMillis(situation);
		}
		long paysMillis = situation.beginMillis() + gainMillis(situation.durationMillis(), situation.poolFull());
		return Math.min(endMillis(situation), Math.min(paysMillis, situation.nowMillis() + situation.slackMillis()));
	}

	private long endMillis(Situation situation) {
		long savedMillis = gainMillis(situation.durationMillis(), false);
		return situation.waitEndMillis()
			.orElse(situation.beginMillis() + (situation.poolFull() ? LATE_GAIN * savedMillis : savedMillis));
	}

	/**
	 * What a decision depends on. All times are milliseconds since 1970.
	 *
	 * @param durationMillis expected duration near the data, in milliseconds; 0 if not
	 * known
	 * @param slackMillis time for which the job can wait and still meet its objective, in
	 * milliseconds
	 * @param poolFull whether other tasks wait for the capacity of the pool
	 * @param nearFreeMillis when a near place is expected to be free; empty if none is
	 * @param beginMillis when the wait begins: now, or when the task became ready if that
	 * was under an earlier leader
	 * @param waitEndMillis end of the wait if the task waits already
	 * @param nowMillis current time
	 */
	public record Situation(long durationMillis, long slackMillis, boolean poolFull, OptionalLong nearFreeMillis,
			long beginMillis, OptionalLong waitEndMillis, long nowMillis) {

		Situation withNearPlace(OptionalLong freeMillis) {
			return new Situation(this.durationMillis, this.slackMillis, this.poolFull, freeMillis, this.beginMillis,
					this.waitEndMillis, this.nowMillis);
		}

	}

	/**
	 * Result of a decision.
	 *
	 * @param reason why the task starts or waits
	 * @param untilMillis latest end of the wait, in milliseconds since 1970; 0 if the
	 * task starts
	 */
	public record Decision(PlacementReason reason, long untilMillis) {

		static Decision start(PlacementReason reason) {
			return new Decision(reason, 0);
		}

	}

}
