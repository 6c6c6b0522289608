package io.burdockpin.core.batch.lead.host;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Priority queue of host orders, limited to the rate that the platform accepts. Orders
 * for hosts that jobs are waiting for come first. Not thread-safe; owned by the leader.
 */
public final class HostOrderQueue {

	/** An order in flight takes tens of milliseconds, or up to 1 s until it times out. */
	private static final int MAXIMUM_IN_FLIGHT = 6;

	/** Leaves a margin for clock drift and for orders of the previous leader. */
	private static final double RATE_SHARE = 0.95;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final TokenBucket rate;

	private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
			Comparator.comparingLong(Waiting::dueMillis).thenComparingLong(Waiting::number));

	private long lastNumber;

	private int inFlight;

	/**
	 * Creates an empty queue.
	 * @param ordersPerSecond rate that the platform accepts
	 */
	public HostOrderQueue(double ordersPerSecond) {
		this.rate = new TokenBucket(RATE_SHARE * ordersPerSecond / MILLIS_PER_SECOND, MAXIMUM_IN_FLIGHT);
	}

	public void add(HostOrder order, HostOrderUrgency urgency, long nowMillis) {
		this.waiting.add(new Waiting(order, urgency.dueMillis(nowMillis), ++this.lastNumber));
	}

	public int size() {
		return this.waiting.size();
	}

	/**
	 * Removes the orders that may be sent now and counts them as in flight.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return orders to send, the most urgent first
	 */
	public List<HostOrder> take(long nowMillis) {
		this.rate.refill(nowMillis);
		List<HostOrder> taken = new ArrayList<>();
		while (!this.waiting.isEmpty() && this.inFlight < MAXIMUM_IN_FLIGHT && this.rate.hasToken()) {
			taken.add(this.waiting.remove().order());
			this.inFlight++;
			this.rate.take();
		}
		return taken;
	}

	public void onReply() {
		this.inFlight--;
	}

	private record Waiting(HostOrder order, long dueMillis, long number) {

	}

}
