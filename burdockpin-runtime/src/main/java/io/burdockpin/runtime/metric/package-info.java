/** Metrics with the names, units and types that Prometheus expects. */
package io.burdockpin.runtime.metric;
