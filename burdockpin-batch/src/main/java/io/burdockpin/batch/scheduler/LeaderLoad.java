package io.burdockpin.batch.scheduler;

import java.util.Optional;

/**
 * Counts what a leader does, so that a time without answers can be explained afterwards.
 * Mutable; belongs to the scheduler.
 */
final class LeaderLoad {

	/** One line a second stays readable and costs next to nothing. */
	private static final long PERIOD_MILLIS = 1_000;

	private final long tickIntervalMillis;

	private long periodStartMillis;

	private long lastTickMillis;

	private int calls;

	private int connections;

	private int orders;

	private int longPolls;

	private long busyMillis;

	private long maximumTickDelayMillis;

	/**
	 * Creates the counts.
	 * @param tickMillis the period in which {@link #onTick} should be called
	 * @param nowMillis the time of the monotonic clock
	 */
	LeaderLoad(long tickMillis, long nowMillis) {
		this.tickIntervalMillis = tickMillis;
		startPeriod(nowMillis);
		this.lastTickMillis = nowMillis;
	}

	void countCall() {
		this.calls++;
	}

	void countConnection() {
		this.connections++;
	}

	void countOrder(boolean listens) {
		if (listens) {
			this.longPolls++;
		}
		else {
			this.orders++;
		}
	}

	void countBusy(long millis) {
		this.busyMillis += millis;
	}

	/**
	 * Takes note of a tick.
	 * @param nowMillis the time of the monotonic clock
	 * @return the counts of a period that is over
	 */
	Optional<Period> onTick(long nowMillis) {
		this.maximumTickDelayMillis = Math.max(this.maximumTickDelayMillis,
				nowMillis - this.lastTickMillis - this.tickIntervalMillis);
		this.lastTickMillis = nowMillis;
		long periodMillis = nowMillis - this.periodStartMillis;
		if (periodMillis < PERIOD_MILLIS) {
			return Optional.empty();
		}
		Period ended = new Period(periodMillis, this.calls, this.connections, this.orders, this.longPolls,
				this.busyMillis, this.maximumTickDelayMillis);
		startPeriod(nowMillis);
		return Optional.of(ended);
	}

	private void startPeriod(long nowMillis) {
		this.periodStartMillis = nowMillis;
		this.calls = 0;
		this.connections = 0;
		this.orders = 0;
		this.longPolls = 0;
		this.busyMillis = 0;
		this.maximumTickDelayMillis = 0;
	}

	/**
	 * The counts of a period.
	 *
	 * @param millis its length
	 * @param calls calls that arrived
	 * @param connections connections for calls that were accepted
	 * @param orders starts, stops and paces that were sent
	 * @param longPolls requests for lists that were sent
	 * @param busyMillis time spent in decisions
	 * @param maximumTickDelayMillis how late the latest tick was
	 */
	record Period(long millis, int calls, int connections, int orders, int longPolls, long busyMillis,
			long maximumTickDelayMillis) {

	}

}
