package io.burdockpin.entry.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.router.RouterCommand.RouterStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** {@code /health}, {@code /ready} and {@code /metrics}. */
final class StatusEndpoint implements HttpEndpoint {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final Actors actors;

	private final Responses responses;

	private final EntryIdentity identity;

	private final EntryMetrics metrics;

	StatusEndpoint(Actors actors, Responses responses, EntryIdentity identity, EntryMetrics metrics) {
		this.actors = actors;
		this.responses = responses;
		this.identity = identity;
		this.metrics = metrics;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (!request.method().equals(HttpMethods.GET) || segments.size() != 1) {
			return Optional.empty();
		}
		return switch (segments.get(0)) {
			case "health" -> Optional.of(status().thenApply(this::health));
			case "ready" -> Optional.of(status().thenApply(this::ready));
			case "metrics" -> Optional.of(status().thenApply(this::metrics));
			default -> Optional.empty();
		};
	}

	private CompletionStage<RouterStatus> status() {
		return this.actors.ask(this.actors.router(),
				(ActorRef<RouterStatus> replyTo) -> new RouterCommand.ReportStatus(replyTo), TIMEOUT);
	}

	private HttpResponse health(RouterStatus status) {
		return this.responses.json(200, document(status));
	}

	private HttpResponse ready(RouterStatus status) {
		boolean ready = status.configurationIndex() > 0 && !status.stopping();
		return this.responses.json(ready ? 200 : 503, document(status));
	}

	private Map<String, Object> document(RouterStatus status) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("entryHost", this.identity.self().host().value());
		document.put("dataCentre", this.identity.self().dataCentre().value());
		document.put("incarnation", this.identity.holder().incarnation());
		document.put("configurationIndex", status.configurationIndex());
		document.put("stopping", status.stopping());
		document.put("requests", status.requestCount());
		return document;
	}

	private HttpResponse metrics(RouterStatus status) {
		this.metrics.update(status);
		try {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(bytes, this.metrics.scrape());
			return this.responses.bytes(200, ContentTypes.parse("text/plain; version=0.0.4; charset=utf-8"),
					bytes.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
