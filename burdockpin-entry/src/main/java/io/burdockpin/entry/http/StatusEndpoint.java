package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.router.RouterCommand.RouterStatus;
import io.burdockpin.runtime.http.HealthReport;
import io.burdockpin.runtime.http.ProgramRoutes;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** {@code /health}, {@code /ready} and {@code /metrics}. */
final class StatusEndpoint implements HttpEndpoint {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final Actors actors;

	private final EntryIdentity identity;

	private final MetricRegistry metrics;

	private final ProgramRoutes routes;

	StatusEndpoint(Actors actors, EntryIdentity identity, MetricRegistry metrics) {
		this.actors = actors;
		this.identity = identity;
		this.metrics = metrics;
		this.routes = new ProgramRoutes(metrics, () -> status().thenApply(this::report));
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (!request.method().equals(HttpMethods.GET) || segments.size() != 1) {
			return Optional.empty();
		}
		if (segments.get(0).equals("metrics")) {
			return Optional.of(status().thenCompose((status) -> {
				update(status);
				return this.routes.handle(request).orElseThrow();
			}));
		}
		return this.routes.handle(request);
	}

	private CompletionStage<RouterStatus> status() {
		return this.actors.ask(this.actors.router(),
				(ActorRef<RouterStatus> replyTo) -> new RouterCommand.ReportStatus(replyTo), TIMEOUT);
	}

	private HealthReport report(RouterStatus status) {
		boolean ready = status.configured() && !status.stopping();
		return new HealthReport(true, ready, details(status));
	}

	private Map<String, String> details(RouterStatus status) {
		Map<String, String> details = new TreeMap<>();
		details.put("entryHost", this.identity.self().host().value());
		details.put("dataCentre", this.identity.self().dataCentre().value());
		details.put("incarnation", Long.toString(this.identity.holder().incarnation()));
		details.put("configurationIndex", Long.toString(status.configurationIndex()));
		details.put("stopping", Boolean.toString(status.stopping()));
		details.put("requests", Integer.toString(status.requestCount()));
		return details;
	}

	private void update(RouterStatus status) {
		this.metrics.record(Metric.CONFIGURATION_INDEX, status.configurationIndex());
		for (QueueStatus queue : status.queues()) {
			this.metrics.record(Metric.QUEUE_LENGTH, queue.waiting(), queue.queue().value());
			this.metrics.record(Metric.FREE_SLOTS, queue.freeSlots(), queue.queue().value());
		}
	}

}
