package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Orders about hosts that wait until the platform takes them, those that jobs wait for
 * first. The platform refuses what exceeds its rate. Mutable; owned by the leader.
 */
final class HostOrderQueue {

	/** One order on the way takes some tens of milliseconds; a silent one up to 1 s. */
	private static final int MAXIMUM_IN_FLIGHT = 6;

	/**
	 * Leaves room for clocks that run at other rates and for the orders of an old leader.
	 */
	private static final double RATE_SHARE = 0.95;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final TokenBucket rate;

	private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
			Comparator.comparingLong(Waiting::dueMillis).thenComparingLong(Waiting::number));

	private long lastNumber;

	private int inFlight;

	/**
	 * Creates an empty queue.
	 * @param ordersPerSecond what the platform accepts
	 */
	HostOrderQueue(double ordersPerSecond) {
		this.rate = new TokenBucket(RATE_SHARE * ordersPerSecond / MILLIS_PER_SECOND, MAXIMUM_IN_FLIGHT);
	}

	void add(HostOrder order, HostOrderUrgency urgency, long nowMillis) {
		this.waiting.add(new Waiting(order, urgency.dueMillis(nowMillis), ++this.lastNumber));
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Takes the orders that may be sent now.
	 * @param nowMillis the time of the monotonic clock
	 * @return the orders; they count as under way
	 */
	List<HostOrder> take(long nowMillis) {
		this.rate.refill(nowMillis);
		List<HostOrder> taken = new ArrayList<>();
		while (!this.waiting.isEmpty() && this.inFlight < MAXIMUM_IN_FLIGHT && this.rate.hasToken()) {
			taken.add(this.waiting.remove().order());
			this.inFlight++;
			this.rate.take();
		}
		return taken;
	}

	void onReply() {
		this.inFlight--;
	}

	private record Waiting(HostOrder order, long dueMillis, long number) {

	}

}
