package io.burdockpin.runtime.http;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.junit.jupiter.api.Test;

/** Guards against a load balancer that still sends requests to a stopping process. */
class ManagementRoutesTests {

	private final MetricRegistry metrics = new MetricRegistry();

	@Test
	void aStoppingProcessIsHealthyButNotReady() {
		ManagementRoutes routes = routes(new HealthReport(true, false, Map.of("state", "stopping")));
		Truth.assertThat(get(routes, "/health").status().intValue()).isEqualTo(200);
		Truth.assertThat(get(routes, "/ready").status().intValue()).isEqualTo(503);
		Truth.assertThat(body(get(routes, "/ready"))).contains("\"state\":\"stopping\"");
	}

	@Test
	void metricsAreServedAsText() {
		this.metrics.record(Metric.TERM, 4);
		HttpResponse response = get(routes(new HealthReport(true, true, Map.of())), "/metrics");
		Truth.assertThat(response.entity().getContentType().toString()).startsWith("text/plain");
		Truth.assertThat(body(response)).contains("burdock_term 4.0");
	}

	@Test
	void otherPathsAreNotHandled() {
		Truth.assertThat(routes(new HealthReport(true, true, Map.of())).handle(HttpRequest.GET("/v1/jobs")).isPresent())
			.isFalse();
	}

	private ManagementRoutes routes(HealthReport report) {
		return new ManagementRoutes(this.metrics, () -> CompletableFuture.completedFuture(report));
	}

	private static HttpResponse get(ManagementRoutes routes, String path) {
		return routes.handle(HttpRequest.GET(path)).orElseThrow().toCompletableFuture().join();
	}

	private static String body(HttpResponse response) {
		return ((HttpEntity.Strict) response.entity()).getData().utf8String();
	}

}
