package io.burdockpin.core.batch.lead.host;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Load: a demand peak begins while a maintenance wave and the end of another peak cause
 * many orders.
 */
class HostOrderQueueTests {

	private final HostOrderQueue queue = new HostOrderQueue(50);

	private long nowMillis = 10_000;

	/** Guards against jobs that wait behind orders that nothing is waiting for. */
	@Test
	void ordersThatJobsWaitForGoFirst() {
		add("returned", HostOrderUrgency.RETURN);
		add("maintained", HostOrderUrgency.MAINTENANCE);
		add("wanted", HostOrderUrgency.GROW);
		Truth.assertThat(takeHosts()).containsExactly("wanted", "maintained", "returned").inOrder();
	}

	/** Guards against starvation of a maintenance wave. */
	@Test
	void anOverdueOrderPrecedesNewOrders() {
		add("maintained", HostOrderUrgency.MAINTENANCE);
		this.nowMillis += 1_500;
		add("wanted", HostOrderUrgency.GROW);
		Truth.assertThat(takeHosts()).containsExactly("maintained", "wanted").inOrder();
	}

	/**
	 * Guards against orders that the platform refuses because they exceed its rate limit.
	 */
	@Test
	void ordersAreLimitedToTheRateThatThePlatformAccepts() {
		for (int number = 0; number < 200; number++) {
			add("host" + number, HostOrderUrgency.GROW);
		}
		int taken = 0;
		for (int round = 0; round < 100; round++) {
			this.nowMillis += 10;
			List<String> hosts = takeHosts();
			taken += hosts.size();
			hosts.forEach((host) -> this.queue.onReply());
		}
		Truth.assertThat(taken).isAtMost(50 + 6);
		Truth.assertThat(taken).isAtLeast(45);
	}

	/**
	 * Guards against orders that are outdated by the time a slow platform handles them.
	 */
	@Test
	void ordersStayQueuedWhileThePlatformDoesNotAnswer() {
		for (int number = 0; number < 20; number++) {
			add("host" + number, HostOrderUrgency.GROW);
		}
		int taken = 0;
		for (int round = 0; round < 10; round++) {
			this.nowMillis += 1_000;
			taken += takeHosts().size();
		}
		Truth.assertThat(taken).isEqualTo(6);
	}

	private void add(String host, HostOrderUrgency urgency) {
		this.queue.add(new HostOrder.Move(1, host, "pool"), urgency, this.nowMillis);
	}

	private List<String> takeHosts() {
		return new ArrayList<>(this.queue.take(this.nowMillis).stream().map(HostOrder::host).toList());
	}

}
