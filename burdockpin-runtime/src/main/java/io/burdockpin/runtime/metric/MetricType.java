package io.burdockpin.runtime.metric;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.datapoints.GaugeDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.core.metrics.StatefulMetric;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metric types, which determine how a metric is registered and how values are recorded.
 */
public enum MetricType {

	/** Monotonic; a recorded value is added. */
	COUNTER {
		@Override
		StatefulMetric<?, ?> register(Metric metric, PrometheusRegistry registry) {
			return Counter.builder()
				.name(metric.metricName())
				.help(metric.help())
				.labelNames(metric.labelNames())
				.register(registry);
		}

		@Override
		void record(Object dataPoint, double value) {
			((CounterDataPoint) dataPoint).inc(value);
		}
	},

	/** Goes up and down; a recorded value replaces the last one. */
	GAUGE {
		@Override
		StatefulMetric<?, ?> register(Metric metric, PrometheusRegistry registry) {
			return Gauge.builder()
				.name(metric.metricName())
				.help(metric.help())
				.labelNames(metric.labelNames())
				.register(registry);
		}

		@Override
		void record(Object dataPoint, double value) {
			((GaugeDataPoint) dataPoint).set(value);
		}
	},

	/** Counts observations in buckets; a recorded value is one observation. */
	HISTOGRAM {
		@Override
		StatefulMetric<?, ?> register(Metric metric, PrometheusRegistry registry) {
			return Histogram.builder()
				.name(metric.metricName())
				.help(metric.help())
				.labelNames(metric.labelNames())
				.classicOnly()
				.classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
				.register(registry);
		}

		@Override
		void record(Object dataPoint, double value) {
			((DistributionDataPoint) dataPoint).observe(value);
		}
	};

	abstract StatefulMetric<?, ?> register(Metric metric, PrometheusRegistry registry);

	abstract void record(Object dataPoint, double value);

}
