package io.burdockpin.batch.scheduler;

import java.util.Optional;

/**
 * Measures the load of a leader, so that the cause of a time without answers can be found
 * in the event log. Mutable; owned by the {@link SchedulerActor}.
 */
final class LeaderLoad {

	/** One event per second is readable and has negligible cost. */
	private static final long PERIOD_MILLIS = 1_000;

	private final long tickIntervalMillis;

	private long periodStartMillis;

	private long lastTickMillis;

	private int calls;

	private int connections;

	private int orders;

	private int heartbeats;

	private long busyMillis;

	private long maximumTickDelayMillis;

	/**
	 * Starts the first period.
	 * @param tickIntervalMillis the interval at which {@link #onTick} should be called
	 * @param nowMillis the time of the monotonic clock
	 */
	LeaderLoad(long tickIntervalMillis, long nowMillis) {
		this.tickIntervalMillis = tickIntervalMillis;
		startPeriod(nowMillis);
		this.lastTickMillis = nowMillis;
	}

	void countCall() {
		this.calls++;
	}

	void countConnection() {
		this.connections++;
	}

	void countOrder(boolean isHeartbeat) {
		if (isHeartbeat) {
			this.heartbeats++;
		}
		else {
			this.orders++;
		}
	}

	void countBusy(long millis) {
		this.busyMillis += millis;
	}

	/**
	 * Handles a tick: measures its delay and ends the period if it is over.
	 * @param nowMillis the time of the monotonic clock
	 * @return the period that has ended; empty if it goes on
	 */
	Optional<Period> onTick(long nowMillis) {
		this.maximumTickDelayMillis = Math.max(this.maximumTickDelayMillis,
				nowMillis - this.lastTickMillis - this.tickIntervalMillis);
		this.lastTickMillis = nowMillis;
		long periodMillis = nowMillis - this.periodStartMillis;
		if (periodMillis < PERIOD_MILLIS) {
			return Optional.empty();
		}
		Period ended = new Period(periodMillis, this.calls, this.connections, this.orders, this.heartbeats,
				this.busyMillis, this.maximumTickDelayMillis);
		startPeriod(nowMillis);
		return Optional.of(ended);
	}

	private void startPeriod(long nowMillis) {
		this.periodStartMillis = nowMillis;
		this.calls = 0;
		this.connections = 0;
		this.orders = 0;
		this.heartbeats = 0;
		this.busyMillis = 0;
		this.maximumTickDelayMillis = 0;
	}

	/**
	 * The load during a period.
	 *
	 * @param millis length of the period
	 * @param calls number of calls received
	 * @param connections number of connections accepted for calls
	 * @param orders number of orders sent to runners, without heartbeats
	 * @param heartbeats number of heartbeats sent to runners
	 * @param busyMillis time spent in decisions
	 * @param maximumTickDelayMillis longest delay of a tick
	 */
	record Period(long millis, int calls, int connections, int orders, int heartbeats, long busyMillis,
			long maximumTickDelayMillis) {

	}

}
