package io.burdockpin.control.replica;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.measure.FleetMeasures;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.junit.jupiter.api.Test;

/**
 * Guards against metrics in wrong units and against metrics of a member that is no longer
 * the leader.
 */
class ControlMetricsTests {

	private static final FleetMeasures MEASURES = new FleetMeasures(Map.of(new PoolName("p"), 2500L),
			Map.of(new CampaignName("kernel"), 90_000L), Map.of(), Map.of(new TeamName("t"), 0.25));

	private final MetricRegistry registry = new MetricRegistry();

	private final ControlMetrics metrics = new ControlMetrics(this.registry);

	@Test
	void theLeaderShowsMeasuresInTheUnitsOfTheirNames() {
		this.metrics.record(Optional.of(MEASURES));
		Truth.assertThat(exposition()).contains("burdock_buffer_cores{pool=\"p\"} 2.5");
		Truth.assertThat(exposition()).contains("burdock_rollout_seconds{campaign=\"kernel\"} 90.0");
		Truth.assertThat(exposition()).contains("burdock_share_distance_ratio{team=\"t\"} 0.25");
	}

	@Test
	void aMemberThatNoLongerLeadsShowsNone() {
		this.metrics.record(Optional.of(MEASURES));
		this.metrics.record(Optional.empty());
		Truth.assertThat(exposition()).doesNotContain("pool=\"p\"");
		Truth.assertThat(exposition()).doesNotContain("campaign=");
	}

	private String exposition() {
		return new String(this.registry.exposition(), StandardCharsets.UTF_8);
	}

}
