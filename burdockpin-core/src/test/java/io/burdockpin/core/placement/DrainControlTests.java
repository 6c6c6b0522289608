package io.burdockpin.core.placement;

import java.util.List;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against drains that stop jobs too early or too late, or that stop jobs after the
 * drain has ended.
 */
class DrainControlTests {

	/** Shorter than the jobs, which start at 0 and run for one minute. */
	private static final long DRAIN_MILLIS = 30_000;

	private static final JobRecord REPEATABLE = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true),
			JobState.RUNNING);

	private static final JobRecord NOT_REPEATABLE = Records.placedOn(1, "j-2", Records.spec("team-1", 1, false, false),
			JobState.RUNNING);

	private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.DEFAULT,
			new PlacementTables(PlacementSettings.DEFAULT));

	@Test
	void aJobThatMustMoveIsStoppedAtOnceAndOneThatIsNotRepeatableOnlyAtTheDeadline() {
		Truth.assertThat(stopped(HostState.DRAINING, CampaignState.RUNNING, 0)).containsExactly(REPEATABLE.id());
		Truth.assertThat(stopped(HostState.DRAINING, CampaignState.RUNNING, DRAIN_MILLIS - 1)).isEmpty();
		Truth.assertThat(stopped(HostState.DRAINING, CampaignState.RUNNING, DRAIN_MILLIS))
			.containsExactly(NOT_REPEATABLE.id());
	}

	@Test
	void aPausedCampaignStillEndsTheDrainsThatItStarted() {
		Truth.assertThat(stopped(HostState.DRAINING, CampaignState.PAUSED, DRAIN_MILLIS))
			.containsExactly(REPEATABLE.id(), NOT_REPEATABLE.id());
	}

	/**
	 * In the round after its return a host is still listed by its campaign; its new jobs
	 * must not be stopped.
	 */
	@Test
	void aHostThatIsBackInServiceKeepsItsNewJobsAfterTheDeadlineOfItsDrain() {
		Truth.assertThat(stopped(HostState.IN_SERVICE, CampaignState.RUNNING, DRAIN_MILLIS)).isEmpty();
	}

	@Test
	void aCancelledCampaignStopsNoJob() {
		Truth.assertThat(stopped(HostState.DRAINING, CampaignState.CANCELLED, DRAIN_MILLIS)).isEmpty();
	}

	private List<JobId> stopped(HostState hostState, CampaignState campaignState, long nowMillis) {
		List<HostRecord> hosts = List.of(Records.host(1, hostState));
		CampaignSpec spec = new CampaignSpec(new CampaignName("kernel"), List.of(Records.POOL), 1, DRAIN_MILLIS, 0, 2);
		CampaignRecord campaign = new CampaignRecord(spec, campaignState, 1,
				List.of(new DrainRecord(Records.hostName(1), DRAIN_MILLIS)), List.of(), "", 1, 0, OptionalLong.empty());
		List<JobRecord> jobs = List.of(REPEATABLE, NOT_REPEATABLE);
		FleetView view = new FleetView(List.of(), hosts, List.of(Records.team("team-1", 1, 100)), jobs, List.of(),
				List.of(campaign));
		return this.planner.plan(view, JobIndex.of(jobs), nowMillis)
			.interventions()
			.stream()
			.map(JobIntervention::job)
			.toList();
	}

}
