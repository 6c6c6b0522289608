package io.burdockpin.runtime.metric;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.StatefulMetric;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of one process. Thread-safe, like the Prometheus client, and shared by all
 * actors of the process. Metrics without a value are not exposed.
 */
public final class MetricRegistry {

	private static final double MILLIS_PER_SECOND = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Map<Metric, StatefulMetric<?, ?>> metrics = registerAll(this.registry);

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	/**
	 * Records a value: adds it to a counter, sets a gauge or observes it in a histogram.
	 * @param metric the metric
	 * @param value the value in the unit of the name
	 * @param labels one value for each label name
	 */
	public void record(Metric metric, double value, String... labels) {
		metric.type().record(this.metrics.get(metric).labelValues(labels), value);
	}

	/**
	 * Increments a counter by one.
	 * @param metric a counter
	 * @param labels one value for each label name
	 */
	public void increment(Metric metric, String... labels) {
		record(metric, 1, labels);
	}

	/**
	 * Removes all values of a metric, for gauges whose label values come and go.
	 * @param metric the metric
	 */
	public void clear(Metric metric) {
		this.metrics.get(metric).clear();
	}

	/**
	 * Returns all metrics in the text exposition format.
	 * @return the text in UTF-8
	 */
	public byte[] exposition() {
		recordProcess();
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			this.writer.write(text, this.registry.scrape(), EscapingScheme.DEFAULT);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toByteArray();
	}

	/**
	 * Returns the content type of the exposition.
	 * @return the value of the HTTP header
	 */
	public String contentType() {
		return this.writer.getContentType();
	}

	// helpers

	private void recordProcess() {
		Runtime runtime = Runtime.getRuntime();
		record(Metric.HEAP_USED, runtime.totalMemory() - runtime.freeMemory());
		record(Metric.START_TIME, ManagementFactory.getRuntimeMXBean().getStartTime() / MILLIS_PER_SECOND);
	}

	private static Map<Metric, StatefulMetric<?, ?>> registerAll(PrometheusRegistry registry) {
		Map<Metric, StatefulMetric<?, ?>> metrics = new EnumMap<>(Metric.class);
		for (Metric metric : Metric.values()) {
			metrics.put(metric, metric.type().register(metric, registry));
		}
		return Collections.unmodifiableMap(metrics);
	}

}
