package io.burdockpin.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.JobCaller;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StandInWorker;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Jobs survive the loss of leaders and workers without a second run. */
class JobTests {

	private static final String KEY = "key-of-the-detailers-0123456789abcdef0123456789abcdef";

	private static final String POOL = "racks";

	/** The default lease of a job, in which a silent worker may still run it. */
	private static final long LEASE_MILLIS = 30_000;

	private static final List<StandInWorker> workers = new ArrayList<>();

	private static Fleet fleet;

	private static JobCaller caller;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("jobs", 2, 4096);
		Operator operator = new Operator(fleet.entries());
		TeamName team = new TeamName("detailers");
		operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(team, 1, 50, 0)));
		operator.change("grant-key", new ConfigurationCommand.GrantKey(team, KeyHash.of(KEY), "test"));
		operator.change("create-pool",
				new ConfigurationCommand.CreatePool(new PoolName(POOL), AvailabilityBudget.DEFAULT, false));
		for (int number = 0; number < 2; number++) {
			String worker = "w" + (number + 1);
			operator
				.change("add-" + worker,
						new ConfigurationCommand.AddHost(
								new HostSpec(new HostName(worker), new DataCentre("dc" + (number + 1)),
										new Rack("rack-" + worker), new Resources(16_000, 32_768, 0)),
								new PoolName(POOL)));
			workers.add(fleet.startWorker(worker, number));
		}
		fleet.awaitSameConfiguration();
		caller = new JobCaller(fleet.entries().get(0), KEY);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against a new leader that starts a job again although it runs, or that does
	 * not hear of its end.
	 */
	@Test
	void noJobIsLostOrStartedTwiceWhenTheLeaderIsKilledBetweenPlacementAndResult() {
		List<String> requests = new ArrayList<>();
		List<String> jobs = new ArrayList<>();
		for (int number = 0; number < 8; number++) {
			String requestId = "%d-job-%d".formatted(System.currentTimeMillis() / 1000, number);
			requests.add(requestId);
			jobs.add(caller.submit(requestId, POOL, 5_000, number % 2 == 0));
			Truth.assertThat(caller.submit(requestId, POOL, 5_000, number % 2 == 0)).isEqualTo(jobs.get(number));
		}
		Await.until("a start of each job", () -> jobs.stream().allMatch((job) -> startsOf(job) > 0));
		ControlMember killed = fleet.leader();
		killed.process().kill();
		for (int number = 0; number < jobs.size(); number++) {
			String job = jobs.get(number);
			Await.until("success of " + job, () -> caller.state(job).equals(Optional.of("SUCCEEDED")));
			Truth.assertThat(caller.result(job)).isEqualTo(Optional.of(requests.get(number)));
		}
		killed.process().start();
		Truth.assertThat(jobs.stream().map(JobTests::startsOf).toList())
			.isEqualTo(jobs.stream().map((job) -> 1).toList());
	}

	/**
	 * Guards against a job that is placed elsewhere while its worker may still run it,
	 * and against a second start of a job that is not repeatable.
	 */
	@Test
	void aJobOfAFrozenWorkerIsPlacedElsewhereOnlyAfterItsLease() {
		String prefix = System.currentTimeMillis() / 1000 + "-frozen-";
		String repeatable = caller.submit(prefix + "again", POOL, 60_000, true);
		Await.until("a start of the job", () -> startsOf(repeatable) > 0);
		StandInWorker frozen = workers.stream()
			.filter((worker) -> !worker.startsOf(repeatable).isEmpty())
			.findFirst()
			.orElseThrow();
		StandInWorker other = workers.stream().filter((worker) -> worker != frozen).findFirst().orElseThrow();
		long frozenMillis = System.currentTimeMillis();
		frozen.process().freeze();
		try {
			Await.until("a start elsewhere", () -> !other.startsOf(repeatable).isEmpty());
		}
		finally {
			frozen.process().resume();
		}
		Truth.assertThat(other.startsOf(repeatable).get(0)).isAtLeast(frozenMillis + LEASE_MILLIS);
		Await.until("success of " + repeatable, () -> caller.state(repeatable).equals(Optional.of("SUCCEEDED")));
	}

	// helpers

	private static int startsOf(String job) {
		return workers.stream().mapToInt((worker) -> worker.startsOf(job).size()).sum();
	}

}
