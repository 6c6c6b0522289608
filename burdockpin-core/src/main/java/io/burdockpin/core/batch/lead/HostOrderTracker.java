package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps account of the orders about hosts that one leader has committed and sent. An
 * order that was sent may be carried out at any later time, so a host with such an order
 * cannot be kept any more. Mutable; owned by the leader.
 */
final class HostOrderTracker {

	private final HandOverPause pause;

	private final int retryMillis;

	/** Hosts whose newest order this leader has proposed. */
	private final Set<String> ownHosts = new HashSet<>();

	/** Hosts whose newest order this leader has sent. */
	private final Set<String> sentHosts = new HashSet<>();

	private final Set<String> hostsInFlight = new HashSet<>();

	private final Map<String, Long> nextTryMillis = new HashMap<>();

	private final List<HostOrder> orders = new ArrayList<>();

	HostOrderTracker(HandOverPause pause, int retryMillis) {
		this.pause = pause;
		this.retryMillis = retryMillis;
	}

	/**
	 * Begins a new order; what was sent about the host before belongs to an earlier one.
	 * @param host the host
	 */
	void begin(String host) {
		this.ownHosts.add(host);
		this.sentHosts.remove(host);
	}

	boolean isOwn(String host) {
		return this.ownHosts.contains(host);
	}

	boolean isSent(String host) {
		return this.sentHosts.contains(host);
	}

	/**
	 * Tells whether a new order about a host may be proposed.
	 * @param host the host
	 * @param nowMillis the time of the monotonic clock
	 * @param wallMillis the time of day
	 * @return whether neither a refused order nor one of an earlier leader is close
	 */
	boolean canBegin(String host, long nowMillis, long wallMillis) {
		return isRetryDue(host, nowMillis) && this.pause.hasElapsed(host, nowMillis, wallMillis);
	}

	/**
	 * Tells whether a committed order about a host may be sent, also if an earlier leader
	 * may have sent it.
	 * @param host the host
	 * @param nowMillis the time of the monotonic clock
	 * @return whether no order of an earlier leader is close
	 */
	boolean canResend(String host, long nowMillis) {
		return isOwn(host) || this.pause.hasElapsedForOpenOrders(nowMillis);
	}

	boolean isRetryDue(String host, long nowMillis) {
		return nowMillis >= this.nextTryMillis.getOrDefault(host, 0L);
	}

	/**
	 * Sends a committed order, unless it is under way or its next try is not due.
	 * @param order the order
	 * @param nowMillis the time of the monotonic clock
	 */
	void sendIfDue(HostOrder order, long nowMillis) {
		String host = order.host();
		if (canResend(host, nowMillis) && isRetryDue(host, nowMillis) && this.hostsInFlight.add(host)) {
			this.sentHosts.add(host);
			this.orders.add(order);
		}
	}

	/**
	 * Takes note of a reply.
	 * @param host the host
	 * @param reply the reply
	 * @param nowMillis the time of the monotonic clock
	 */
	void onReply(String host, HostReply reply, long nowMillis) {
		this.hostsInFlight.remove(host);
		this.nextTryMillis.put(host, nowMillis + this.retryMillis);
		if (reply == HostReply.HOST_NOT_UP) {
			this.sentHosts.remove(host);
		}
	}

	/**
	 * Returns and clears the orders to send.
	 * @return the orders
	 */
	List<HostOrder> drainOrders() {
		List<HostOrder> drained = List.copyOf(this.orders);
		this.orders.clear();
		return drained;
	}

}
