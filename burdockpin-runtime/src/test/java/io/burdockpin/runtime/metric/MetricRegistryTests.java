package io.burdockpin.runtime.metric;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Guards against metrics that Prometheus cannot parse or that violate its naming
 * conventions.
 */
class MetricRegistryTests {

	private final MetricRegistry registry = new MetricRegistry();

	@Test
	void aCounterIsShownWithItsLabelsAndTheTotalSuffix() {
		this.registry.increment(Metric.REFUSALS, "KEY_WITHDRAWN");
		this.registry.increment(Metric.REFUSALS, "KEY_WITHDRAWN");
		Truth.assertThat(exposition()).contains("burdock_refusals_total{code=\"KEY_WITHDRAWN\"} 2.0");
	}

	@Test
	void aGaugeShowsTheLastValue() {
		this.registry.record(Metric.CONFIGURATION_INDEX, 7);
		this.registry.record(Metric.CONFIGURATION_INDEX, 9);
		Truth.assertThat(exposition()).contains("\nburdock_configuration_index 9.0\n");
	}

	@Test
	void aHistogramCountsObservationsInBuckets() {
		this.registry.record(Metric.REQUEST_DURATION, 0.02, "booking");
		Truth.assertThat(exposition())
			.contains("burdock_request_duration_seconds_bucket{queue=\"booking\",le=\"0.025\"} 1");
	}

	@Test
	void aClearedGaugeRemovesItsLabelValues() {
		this.registry.record(Metric.RUNNERS, 3, "booking", "attached");
		this.registry.clear(Metric.RUNNERS);
		Truth.assertThat(exposition()).doesNotContain("booking");
	}

	@Test
	void everyNameIsInSnakeCaseAndUnique() {
		Truth.assertThat(Arrays.stream(Metric.values()).map(Metric::metricName).toList()).containsNoDuplicates();
		for (Metric metric : Metric.values()) {
			Truth.assertThat(metric.metricName()).matches("[a-z]+(_[a-z]+)+");
			Truth.assertThat(metric.metricName()).doesNotMatch(".*_(millis|ms|total|mb)");
		}
	}

	private String exposition() {
		return new String(this.registry.exposition(), StandardCharsets.UTF_8);
	}

}
