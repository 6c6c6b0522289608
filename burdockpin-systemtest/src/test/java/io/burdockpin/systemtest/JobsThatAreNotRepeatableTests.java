package io.burdockpin.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.JobCaller;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StandInWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Promises P5 and P8 for jobs whose worker freezes, is lost for good or reboots. */
class JobsThatAreNotRepeatableTests {

	private static final String KEY = "key-of-the-payroll-0123456789abcdef0123456789abcdef00";

	private static final String POOL = "racks";

	private static final int JOB_LEASE_MILLIS = 10_000;

	private static final int LIMIT = 2;

	private static final int WORKERS = 4;

	private static final long SHORT_RUN_MILLIS = 3_000;

	private static final long FROZEN_RUN_MILLIS = 15_000;

	private static final long LONG_RUN_MILLIS = 600_000;

	private final List<StandInWorker> workers = new ArrayList<>();

	private Fleet fleet;

	private Operator operator;

	private JobCaller caller;

	@BeforeEach
	void startFleet() {
		this.fleet = Fleet.start("jobs-once", 2, Map.of("jobLeaseMillis", JOB_LEASE_MILLIS));
		// A host whose worker does not report within a lease would count as lost.
		for (int number = 1; number <= WORKERS; number++) {
			this.workers.add(this.fleet.startWorker("w" + number, number % 2));
		}
		this.operator = new Operator(this.fleet.entries());
		TeamName team = new TeamName("payroll");
		this.operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(team, 1, LIMIT, 0)));
		this.operator.change("grant-key", new ConfigurationCommand.GrantKey(team, KeyHash.of(KEY), "test"));
		this.operator.change("create-pool",
				new ConfigurationCommand.CreatePool(new PoolName(POOL), AvailabilityBudget.DEFAULT, false));
		for (int number = 1; number <= WORKERS; number++) {
			String worker = "w" + number;
			// One job fills a host.
			HostSpec spec = new HostSpec(new HostName(worker), new DataCentre("dc1"), new Rack("rack-" + number),
					new Resources(900, 1_024, 0));
			this.operator.change("add-" + worker, new ConfigurationCommand.AddHost(spec, new PoolName(POOL)));
		}
		this.fleet.awaitSameConfiguration();
		this.caller = new JobCaller(this.fleet.entries().get(0), KEY);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a second start of such a job, against a limit that forgets a job
	 * which may still run, and against a limit that stays blocked for ever.
	 */
	@Test
	void aJobThatMayStillRunIsNotStartedAgainAndCountsUntilItsEndIsReported() {
		String onFrozen = startedJob("frozen", FROZEN_RUN_MILLIS);
		String onLost = startedJob("lost", LONG_RUN_MILLIS);
		String waiting = submit("waiting", LONG_RUN_MILLIS);
		StandInWorker frozen = workerOf(onFrozen);
		frozen.process().freeze();
		workerOf(onLost).process().kill();
		Await.until("the loss of both hosts", () -> lostHosts() == 2);
		Truth.assertThat(this.caller.state(onFrozen)).isEqualTo(Optional.of("RUNNING"));
		Truth.assertThat(this.caller.state(onLost)).isEqualTo(Optional.of("RUNNING"));
		Truth.assertThat(this.caller.state(waiting)).isEqualTo(Optional.of("WAITING"));
		frozen.process().resume();
		Await.until("the end of the job that was frozen",
				() -> this.caller.state(onFrozen).equals(Optional.of("SUCCEEDED")));
		Await.until("a start of the job that waited", () -> startsOf(waiting) > 0);
		String next = submit("next", SHORT_RUN_MILLIS);
		reportEnd(onLost);
		Truth.assertThat(this.caller.state(onLost)).isEqualTo(Optional.of("OUTCOME_UNKNOWN"));
		Await.until("the end of the job that waited for the report",
				() -> this.caller.state(next).equals(Optional.of("SUCCEEDED")));
		StandInWorker rebooted = workerOf(waiting);
		rebooted.process().kill();
		rebooted.process().start();
		Await.until("an unknown outcome after the reboot",
				() -> this.caller.state(waiting).equals(Optional.of("OUTCOME_UNKNOWN")));
		Truth.assertThat(List.of(startsOf(onFrozen), startsOf(onLost), startsOf(waiting), startsOf(next)))
			.containsExactly(1, 1, 1, 1);
	}

	// helpers

	private String startedJob(String name, long runMillis) {
		String job = submit(name, runMillis);
		Await.until("a start of " + name,
				() -> startsOf(job) > 0 && this.caller.state(job).equals(Optional.of("RUNNING")));
		return job;
	}

	private String submit(String name, long runMillis) {
		String requestId = System.currentTimeMillis() / 1000 + "-" + name;
		return this.caller.submit(requestId, POOL, runMillis, false);
	}

	private void reportEnd(String job) {
		JobRecord record = this.operator.job(new JobId(job)).orElseThrow();
		JobCommand end = new JobCommand.InterruptJob(record.id(), record.leaseEpoch(), false, Payload.EMPTY);
		long version = this.operator.change("end-" + job, end).version();
		Operator otherEntryHost = new Operator(List.of(this.fleet.entries().get(1), this.fleet.entries().get(0)));
		Truth.assertThat(otherEntryHost.change("end-" + job, end).version()).isEqualTo(version);
	}

	private long lostHosts() {
		return this.operator.configuration().hosts().stream().filter((host) -> host.state() == HostState.LOST).count();
	}

	private StandInWorker workerOf(String job) {
		return this.workers.stream().filter((worker) -> !worker.startsOf(job).isEmpty()).findFirst().orElseThrow();
	}

	private int startsOf(String job) {
		return this.workers.stream().mapToInt((worker) -> worker.startsOf(job).size()).sum();
	}

}
