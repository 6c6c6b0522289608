package io.burdockpin.core.measure;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.placement.Records;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/** Guards against wrong measures, which would distort the comparison of planners. */
class FleetMeasuresTests {

	private static final TeamName HEAVY = new TeamName("heavy");

	private static final TeamName LIGHT = new TeamName("light");

	@Test
	void theBufferIsTheUnusedCapacityOfOccupiedHostsInService() {
		List<HostRecord> hosts = List.of(Records.host(1, HostState.IN_SERVICE), Records.host(2, HostState.IN_SERVICE),
				Records.host(3, HostState.DRAINING));
		FleetMeasures measures = measures(hosts, List.of(running(1, "j-1", HEAVY, 1), running(3, "j-2", HEAVY, 1)),
				List.of());
		Truth.assertThat(measures.bufferMillicores()).containsExactly(Records.POOL, 3000L);
	}

	@Test
	void aTeamAtItsFairShareHasDistanceZeroAndAWaitingTeamDoesNot() {
		List<HostRecord> hosts = List.of(Records.host(1, HostState.IN_SERVICE));
		List<JobRecord> fair = List.of(running(1, "j-1", HEAVY, 3), running(1, "j-2", LIGHT, 1),
				Records.waiting("j-3", Records.spec("heavy", 3, false, true)),
				Records.waiting("j-4", Records.spec("light", 3, false, true)));
		Truth.assertThat(measures(hosts, fair, List.of()).shareDistances())
			.containsExactlyEntriesIn(Map.of(HEAVY, 0.0, LIGHT, 0.0));
		List<JobRecord> unfair = List.of(running(1, "j-1", LIGHT, 4),
				Records.waiting("j-2", Records.spec("heavy", 4, false, true)));
		Truth.assertThat(measures(hosts, unfair, List.of()).shareDistances())
			.containsExactlyEntriesIn(Map.of(HEAVY, 1.0, LIGHT, 3.0));
	}

	@Test
	void theRolloutTimeIncreasesUntilTheCampaignHasEnded() {
		FleetMeasures measures = measures(List.of(), List.of(),
				List.of(campaign("open", OptionalLong.empty()), campaign("ended", OptionalLong.of(5000))));
		Truth.assertThat(measures.rolloutMillis())
			.containsExactly(new CampaignName("open"), 9000L, new CampaignName("ended"), 4000L);
	}

	@Test
	void movesAreCountedByPool() {
		JobRecord job = running(1, "j-1", HEAVY, 1);
		JobRecord moved = new JobRecord(job.id(), job.spec(), job.state(), job.worker(), 3, false, 0, 0, 2, "",
				job.checkpoint(), job.result());
		Truth.assertThat(measures(List.of(), List.of(moved, job), List.of()).moveCounts())
			.containsExactly(Records.POOL, 2L);
	}

	private static FleetMeasures measures(List<HostRecord> hosts, List<JobRecord> jobs,
			List<CampaignRecord> campaigns) {
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(1, List.of(Records.pool(80, 2)), hosts,
				List.of(Records.team("heavy", 3, 100), Records.team("light", 1, 100)), List.of(), List.of());
		return FleetMeasures.of(configuration, jobs, campaigns, 10_000);
	}

	private static JobRecord running(int host, String id, TeamName team, int cores) {
		return Records.placedOn(host, id, Records.spec(team.value(), cores, false, true), JobState.RUNNING);
	}

	private static CampaignRecord campaign(String name, OptionalLong endedMillis) {
		CampaignSpec spec = new CampaignSpec(new CampaignName(name), List.of(Records.POOL), 1, 0, 0, 2);
		return new CampaignRecord(spec, CampaignState.RUNNING, 0, List.of(), List.of(), "", 1, 1000, endedMillis);
	}

}
