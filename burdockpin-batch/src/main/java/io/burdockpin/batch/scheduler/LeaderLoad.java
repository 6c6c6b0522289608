package io.burdockpin.batch.scheduler;

import java.util.Optional;

/**
 * Counts what a leader does, so that a time without answers can be explained afterwards.
 * Mutable; belongs to the scheduler.
 */
final class LeaderLoad {

	/** One line a second stays readable and costs next to nothing. */
	private static final long PERIOD_MILLIS = 1_000;

	private final long tickMillis;

	private long beganMillis;

	private long tickedMillis;

	private int calls;

	private int connections;

	private int orders;

	private int listens;

	private long busyMillis;

	private long lateMillis;

	/**
	 * Creates the counts.
	 * @param tickMillis the period in which {@link #onTick} should be called
	 * @param nowMillis the time of the monotonic clock
	 */
	LeaderLoad(long tickMillis, long nowMillis) {
		this.tickMillis = tickMillis;
		begin(nowMillis);
		this.tickedMillis = nowMillis;
	}

	void countCall() {
		this.calls++;
	}

	void countConnection() {
		this.connections++;
	}

	void countOrder(boolean listens) {
		if (listens) {
			this.listens++;
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
		this.lateMillis = Math.max(this.lateMillis, nowMillis - this.tickedMillis - this.tickMillis);
		this.tickedMillis = nowMillis;
		long periodMillis = nowMillis - this.beganMillis;
		if (periodMillis < PERIOD_MILLIS) {
			return Optional.empty();
		}
		Period ended = new Period(periodMillis, this.calls, this.connections, this.orders, this.listens,
				this.busyMillis, this.lateMillis);
		begin(nowMillis);
		return Optional.of(ended);
	}

	private void begin(long nowMillis) {
		this.beganMillis = nowMillis;
		this.calls = 0;
		this.connections = 0;
		this.orders = 0;
		this.listens = 0;
		this.busyMillis = 0;
		this.lateMillis = 0;
	}

	/**
	 * The counts of a period.
	 *
	 * @param millis its length
	 * @param calls calls that arrived
	 * @param connections connections for calls that were accepted
	 * @param orders starts, stops and paces that were sent
	 * @param listens requests for lists that were sent
	 * @param busyMillis time spent in decisions
	 * @param lateMillis how late the latest tick was
	 */
	record Period(long millis, int calls, int connections, int orders, int listens, long busyMillis, long lateMillis) {

	}

}
