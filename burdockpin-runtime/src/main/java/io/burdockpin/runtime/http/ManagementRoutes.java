package io.burdockpin.runtime.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Serves {@code /health}, {@code /ready} and {@code /metrics}. Immutable.
 */
public final class ManagementRoutes {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final MetricRegistry metrics;

	private final Supplier<CompletionStage<HealthReport>> health;

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Creates the routes.
	 * @param metrics the metrics of the process
	 * @param health collects the state of the process from its actors
	 */
	public ManagementRoutes(MetricRegistry metrics, Supplier<CompletionStage<HealthReport>> health) {
		this.metrics = metrics;
		this.health = health;
	}

	/**
	 * Handles a request for one of the routes.
	 * @param request any request of the program
	 * @return the response, or empty for other paths
	 */
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request) {
		return switch (request.getUri().path()) {
			case "/health" -> Optional.of(this.health.get().thenApply((report) -> response(report.healthy(), report)));
			case "/ready" -> Optional.of(this.health.get().thenApply((report) -> response(report.ready(), report)));
			case "/metrics" -> Optional.of(CompletableFuture.completedFuture(metrics()));
			default -> Optional.empty();
		};
	}

	// helpers

	private HttpResponse response(boolean isOk, HealthReport report) {
		return HttpResponse.create()
			.withStatus(isOk ? OK : UNAVAILABLE)
			.withEntity(ContentTypes.APPLICATION_JSON, serialize(report));
	}

	private HttpResponse metrics() {
		return HttpResponse.create()
			.addHeader(RawHeader.create("Cache-Control", "no-store"))
			.withEntity(HttpEntities.create(ContentTypes.parse(this.metrics.contentType()), this.metrics.exposition()));
	}

	private byte[] serialize(HealthReport report) {
		try {
			return this.mapper.writeValueAsBytes(report);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize the health report", ex);
		}
	}

}
