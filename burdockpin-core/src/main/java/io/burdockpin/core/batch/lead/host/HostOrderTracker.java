package io.burdockpin.core.batch.lead.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the host orders that one leader has committed and sent. An order that was sent
 * may be carried out at any later time, so the host cannot be kept afterwards. Not
 * thread-safe; owned by the leader.
 */
public final class HostOrderTracker {

	private final HandOverPause pause;

	private final int retryMillis;

	/** Hosts whose latest order was proposed by this leader. */
	private final Set<String> ownHosts = new HashSet<>();

	/** Hosts whose latest order was sent by this leader. */
	private final Set<String> sentHosts = new HashSet<>();

	private final Set<String> hostsInFlight = new HashSet<>();

	private final Map<String, Long> nextTryMillis = new HashMap<>();

	private final List<HostOrder> orders = new ArrayList<>();

	public HostOrderTracker(HandOverPause pause, int retryMillis) {
		this.pause = pause;
		this.retryMillis = retryMillis;
	}

	/**
	 * Starts a new order for a host and clears the sent state of the previous one.
	 * @param host name of the host
	 */
	public void begin(String host) {
		this.ownHosts.add(host);
		this.sentHosts.remove(host);
	}

	public boolean isOwn(String host) {
		return this.ownHosts.contains(host);
	}

	/**
	 * Checks whether an order for a host is being sent or waits for its reply.
	 * @param host name of the host
	 * @return {@code false} once the reply has arrived or was given up
	 */
	public boolean isInFlight(String host) {
		return this.hostsInFlight.contains(host);
	}

	public boolean isSent(String host) {
		return this.sentHosts.contains(host);
	}

	/**
	 * Checks whether a new order for a host may be proposed.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the retry delay and the delay after an earlier leader's
	 * order have elapsed
	 */
	public boolean canBegin(String host, long nowMillis) {
		return isRetryDue(host, nowMillis) && this.pause.hasElapsed(host, nowMillis);
	}

	/**
	 * Checks whether a committed order for a host may be sent, even if an earlier leader
	 * may already have sent it.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the order is from this leader or the delay after an
	 * election has elapsed
	 */
	public boolean canResend(String host, long nowMillis) {
		return isOwn(host) || this.pause.hasElapsedForOpenOrders(nowMillis);
	}

	public boolean isRetryDue(String host, long nowMillis) {
		return nowMillis >= this.nextTryMillis.getOrDefault(host, 0L);
	}

	/**
	 * Sends a committed order unless it is in flight or its retry is not due.
	 * @param order order to send
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void sendIfDue(HostOrder order, long nowMillis) {
		String host = order.host();
		if (canResend(host, nowMillis) && isRetryDue(host, nowMillis) && this.hostsInFlight.add(host)) {
			this.sentHosts.add(host);
			this.orders.add(order);
		}
	}

	/**
	 * Handles the reply to an order.
	 * @param host name of the host
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onReply(String host, HostReply reply, long nowMillis) {
		this.hostsInFlight.remove(host);
		this.nextTryMillis.put(host, nowMillis + this.retryMillis);
		if (reply == HostReply.HOST_NOT_UP) {
			this.sentHosts.remove(host);
		}
	}

	/**
	 * Returns and clears the orders to send.
	 * @return orders to send
	 */
	public List<HostOrder> drainOrders() {
		List<HostOrder> drained = List.copyOf(this.orders);
		this.orders.clear();
		return drained;
	}

}
