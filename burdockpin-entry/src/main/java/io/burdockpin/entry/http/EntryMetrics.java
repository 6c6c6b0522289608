package io.burdockpin.entry.http;

import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.entry.router.RouterCommand.RouterStatus;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;

/** Metrics of the entry program. Shared by all threads; the library synchronises. */
final class EntryMetrics {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter responses = Counter.builder()
		.name("burdock_entry_http_responses_total")
		.help("HTTP responses by status")
		.labelNames("status")
		.register(this.registry);

	private final Gauge requests = Gauge.builder()
		.name("burdock_entry_requests")
		.help("Requests in flight")
		.register(this.registry);

	private final Gauge waiting = gauge("burdock_entry_queue_waiting", "Waiting requests");

	private final Gauge slots = gauge("burdock_entry_queue_slots", "Slots of usable runners");

	private final Gauge freeSlots = gauge("burdock_entry_queue_free_slots", "Free slots of usable runners");

	void countResponse(int status) {
		this.responses.labelValues(Integer.toString(status)).inc();
	}

	void update(RouterStatus status) {
		this.requests.set(status.requestCount());
		for (QueueStatus queue : status.queues()) {
			this.waiting.labelValues(queue.queue().value()).set(queue.waiting());
			this.slots.labelValues(queue.queue().value()).set(queue.slots());
			this.freeSlots.labelValues(queue.queue().value()).set(queue.freeSlots());
		}
	}

	MetricSnapshots scrape() {
		return this.registry.scrape();
	}

	private Gauge gauge(String name, String help) {
		return Gauge.builder().name(name).help(help).labelNames("queue").register(this.registry);
	}

}
