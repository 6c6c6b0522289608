package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.burdockpin.core.limit.TokenCount;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.routing.RunnerCount;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.router.RouterCommand.RouterStatus;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.runtime.http.HealthReport;
import io.burdockpin.runtime.http.ManagementRoutes;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Serves {@code /health}, {@code /ready} and {@code /metrics}. */
final class StatusEndpoint implements HttpEndpoint {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final EntryActors actors;

	private final EntryIdentity identity;

	private final MetricRegistry metrics;

	private final ManagementRoutes routes;

	StatusEndpoint(EntryActors actors, EntryIdentity identity, MetricRegistry metrics) {
		this.actors = actors;
		this.identity = identity;
		this.metrics = metrics;
		this.routes = new ManagementRoutes(metrics, () -> status().thenApply(this::report));
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (!request.method().equals(HttpMethods.GET) || segments.size() != 1) {
			return Optional.empty();
		}
		if (segments.get(0).equals("metrics")) {
			return Optional.of(status().thenCombine(tokens(), (status, tokens) -> {
				update(status, tokens);
				return this.routes.handle(request).orElseThrow();
			}).thenCompose(Function.identity()));
		}
		return this.routes.handle(request);
	}

	private CompletionStage<RouterStatus> status() {
		return this.actors.ask(this.actors.router(),
				(ActorRef<RouterStatus> replyTo) -> new RouterCommand.ReportStatus(replyTo), TIMEOUT);
	}

	private CompletionStage<TokenCommand.Counts> tokens() {
		return this.actors.ask(this.actors.tokens(),
				(ActorRef<TokenCommand.Counts> replyTo) -> new TokenCommand.ReportCounts(replyTo), TIMEOUT);
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

	private void update(RouterStatus status, TokenCommand.Counts tokens) {
		this.metrics.record(Metric.CONFIGURATION_INDEX, status.configurationIndex());
		for (QueueStatus queue : status.queues()) {
			this.metrics.record(Metric.QUEUE_LENGTH, queue.waiting(), queue.queue().value());
			this.metrics.record(Metric.FREE_SLOTS, queue.freeSlots(), queue.queue().value());
		}
		// Cleared, because queues, states and teams may no longer exist.
		this.metrics.clear(Metric.RUNNERS);
		for (RunnerCount runners : status.runners()) {
			this.metrics.record(Metric.RUNNERS, runners.count(), runners.queue().value(),
					runners.state().name().toLowerCase(Locale.ROOT));
		}
		this.metrics.clear(Metric.TOKENS);
		for (TokenCount team : tokens.teams()) {
			this.metrics.record(Metric.TOKENS, team.ownedCount(), team.team().value(), "owned");
			this.metrics.record(Metric.TOKENS, team.leasedCount(), team.team().value(), "leased");
			this.metrics.record(Metric.TOKENS, team.inUseCount(), team.team().value(), "in_use");
		}
	}

}
