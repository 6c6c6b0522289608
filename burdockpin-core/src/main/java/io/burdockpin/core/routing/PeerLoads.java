package io.burdockpin.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;

/**
 * Loads of the other entry hosts, corrected for the requests sent to them since their
 * last status. Mutable, owned by one actor.
 */
public final class PeerLoads {

	private final Map<SentKey, Sent> sentCounts = new HashMap<>();

	private Map<QueueName, List<PeerLoad>> loads = Map.of();

	/**
	 * Replaces the reported loads.
	 * @param newLoads the loads of all other entry hosts, by queue
	 */
	public void update(Map<QueueName, List<PeerLoad>> newLoads) {
		this.loads = newLoads;
	}

	/**
	 * Records a request sent to another entry host.
	 * @param queue queue of the request
	 * @param load the load by which the host was chosen
	 */
	public void recordSent(QueueName queue, PeerLoad load) {
		int count = sentCount(queue, load);
		this.sentCounts.put(new SentKey(load.host(), queue), new Sent(load.statusNumber(), count + 1));
	}

	/**
	 * Returns the corrected loads of a queue.
	 * @param queue the queue
	 * @return the load of each entry host that has reported one
	 */
	public List<PeerLoad> of(QueueName queue) {
		return this.loads.getOrDefault(queue, List.of())
			.stream()
			.map((load) -> load.withRequestsSent(sentCount(queue, load)))
			.toList();
	}

	private int sentCount(QueueName queue, PeerLoad load) {
		Sent sent = this.sentCounts.get(new SentKey(load.host(), queue));
		return (sent != null && sent.statusNumber() == load.statusNumber()) ? sent.count() : 0;
	}

	private record SentKey(HostName host, QueueName queue) {

	}

	private record Sent(long statusNumber, int count) {

	}

}
