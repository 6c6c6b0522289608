package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against large jobs that starve behind a stream of small ones, and against
 * reservations that hold back urgent jobs or more than one host of a pool.
 */
class ReservationTableTests {

	private static final long WAIT_MILLIS = 20_000;

	private static final long LONGEST_SMALL_RUN_MILLIS = 8_000;

	private static final long ROUND_MILLIS = 250;

	private static final int HOSTS = 3;

	private static final int CORES_PER_HOST = 4;

	private static final JobId LARGE = new JobId("j-large");

	private final Map<JobId, JobRecord> jobs = new HashMap<>();

	private final Map<JobId, Long> endMillis = new HashMap<>();

	private PlacementTables tables = new PlacementTables(PlacementSettings.DEFAULT);

	private RandomGenerator random = new SplittableRandom(1);

	private int jobCount;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aLargeJobStartsAfterItsWaitAndTheLongestRunOfTheSmallOnes(long seed) {
		this.random = new SplittableRandom(seed);
		long startedMillis = startOfLargeJob(WAIT_MILLIS, 10 * WAIT_MILLIS);
		Truth.assertThat(startedMillis).isAtLeast(WAIT_MILLIS);
		Truth.assertThat(startedMillis).isAtMost(WAIT_MILLIS + LONGEST_SMALL_RUN_MILLIS + ROUND_MILLIS);
	}

	/**
	 * Verifies the premise of the tests: without a reservation the small jobs use all
	 * capacity.
	 */
	@Test
	void aLargeJobWithoutAReservationStarves() {
		long endOfRunMillis = 10 * WAIT_MILLIS;
		Truth.assertThat(startOfLargeJob(20 * WAIT_MILLIS, endOfRunMillis)).isAtLeast(endOfRunMillis);
	}

	@Test
	void aReservationHoldsOneHostAndLetsUrgentJobsPass() {
		for (int number = 1; number <= HOSTS; number++) {
			put(running("j-r" + number, 3, number));
		}
		put(waiting(LARGE.value(), CORES_PER_HOST, false));
		for (int number = 1; number <= HOSTS; number++) {
			put(waiting("j-s" + number, 1, false));
		}
		PlacementPlanner planner = planner(WAIT_MILLIS);
		Truth.assertThat(placed(planner, 0)).hasSize(HOSTS);
		Truth.assertThat(placed(planner, WAIT_MILLIS)).hasSize(HOSTS - 1);
		put(waiting("j-urgent", 1, true));
		Truth.assertThat(placed(planner, WAIT_MILLIS + 1)).hasSize(HOSTS);
	}

	@Test
	void aJobOfATeamAtItsLimitReservesNothing() {
		put(running("j-r1", 3, 1));
		put(waiting(LARGE.value(), CORES_PER_HOST, false));
		JobRecord other = new JobRecord(new JobId("j-s1"), spec("team-2", 1, false), JobState.WAITING, Optional.empty(),
				0, false, 0, 0, 0, "", Payload.EMPTY, Payload.EMPTY);
		put(other);
		PlacementPlanner planner = planner(WAIT_MILLIS);
		List<TeamRecord> teams = List.of(Records.team("team-1", 1, 1), Records.team("team-2", 1, 100));
		Truth.assertThat(placed(planner, WAIT_MILLIS, teams, 1)).containsExactly(other.id());
	}

	// helpers

	private long startOfLargeJob(long waitMillis, long limitMillis) {
		PlacementPlanner planner = planner(waitMillis);
		put(waiting(LARGE.value(), CORES_PER_HOST, false));
		long nowMillis = 0;
		while (nowMillis < limitMillis) {
			finishJobs(nowMillis);
			refill(nowMillis);
			for (JobCommand.PlaceJob placement : placements(planner, nowMillis)) {
				if (placement.job().equals(LARGE)) {
					return nowMillis;
				}
				start(placement, nowMillis);
			}
			nowMillis += ROUND_MILLIS;
		}
		return nowMillis;
	}

	private void finishJobs(long nowMillis) {
		this.endMillis.forEach((job, end) -> {
			if (end <= nowMillis) {
				this.jobs.remove(job);
			}
		});
		this.endMillis.values().removeIf((end) -> end <= nowMillis);
	}

	private void refill(long nowMillis) {
		long waiting = this.jobs.values().stream().filter((job) -> job.state() == JobState.WAITING).count();
		for (long number = waiting; number <= HOSTS * CORES_PER_HOST; number++) {
			put(record("j-" + this.jobCount++, spec("team-1", 1, false), JobState.WAITING, Optional.empty(),
					nowMillis));
		}
	}

	private void start(JobCommand.PlaceJob placement, long nowMillis) {
		JobRecord job = this.jobs.get(placement.job());
		put(record(job.id().value(), job.spec(), JobState.RUNNING, Optional.of(placement.worker()), nowMillis));
		long runMillis = this.random.nextLong(1, LONGEST_SMALL_RUN_MILLIS);
		this.endMillis.put(job.id(), nowMillis + runMillis);
	}

	private List<JobId> placed(PlacementPlanner planner, long nowMillis) {
		return placements(planner, nowMillis).stream().map(JobCommand.PlaceJob::job).toList();
	}

	private List<JobId> placed(PlacementPlanner planner, long nowMillis, List<TeamRecord> teams, int hostCount) {
		return placements(planner, nowMillis, teams, hostCount).stream().map(JobCommand.PlaceJob::job).toList();
	}

	private List<JobCommand.PlaceJob> placements(PlacementPlanner planner, long nowMillis) {
		return placements(planner, nowMillis, List.of(Records.team("team-1", 1, 1000)), HOSTS);
	}

	private List<JobCommand.PlaceJob> placements(PlacementPlanner planner, long nowMillis, List<TeamRecord> teams,
			int hostCount) {
		List<HostRecord> hosts = new ArrayList<>();
		for (int number = 1; number <= hostCount; number++) {
			hosts.add(Records.host(number, HostState.IN_SERVICE));
			this.tables.workers().recordReport(Records.report(number, "boot-1"), nowMillis);
		}
		List<JobRecord> view = new ArrayList<>(this.jobs.values());
		view.sort((first, second) -> first.id().compareTo(second.id()));
		List<Command> commands = planner.plan(Records.view(hosts, teams, view), JobIndex.of(view), nowMillis)
			.commands();
		return commands.stream()
			.filter(JobCommand.PlaceJob.class::isInstance)
			.map(JobCommand.PlaceJob.class::cast)
			.toList();
	}

	private PlacementPlanner planner(long waitMillis) {
		PlacementSettings settings = PlacementSettings.DEFAULT.withReservationWait(waitMillis);
		this.tables = new PlacementTables(settings);
		return new PlacementPlanner(settings, this.tables);
	}

	private void put(JobRecord job) {
		this.jobs.put(job.id(), job);
	}

	private static JobRecord waiting(String id, int cores, boolean urgent) {
		return record(id, spec("team-1", cores, urgent), JobState.WAITING, Optional.empty(), 0);
	}

	private static JobRecord running(String id, int cores, int host) {
		return record(id, spec("team-1", cores, false), JobState.RUNNING, Optional.of(Records.hostName(host)), 0);
	}

	private static JobSpec spec(String team, int cores, boolean urgent) {
		return new JobSpec(Records.spec(team, cores, urgent, false).team(), Records.POOL,
				new Resources(1_000 * cores, 512, 0), LONGEST_SMALL_RUN_MILLIS, urgent, false, Payload.EMPTY);
	}

	private static JobRecord record(String id, JobSpec spec, JobState state, Optional<HostName> worker,
			long changedMillis) {
		return new JobRecord(new JobId(id), spec, state, worker, 1, false, 0, changedMillis, 0, "", Payload.EMPTY,
				Payload.EMPTY);
	}

}
