package io.burdockpin.core.limit;

import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a team whose running attempts and jobs exceed its upper limit. */
class TokenLimitTests {

	private static final TeamName PAYROLL = new TeamName("payroll");

	private static final TeamName BOOKING = new TeamName("booking");

	private static final Map<TeamName, Double> HEAVY = new TreeMap<>(Map.of(PAYROLL, 0.06, BOOKING, 0.2));

	private static final int STEPS = 12_000;

	private static final int SEEDS = 12;

	private static final int FAULT_SEEDS = 60;

	@ParameterizedTest
	@ValueSource(ints = { 3, 6 })
	void noTeamExceedsItsLimitDuringPartitionsRestartsAndLeaderChanges(int dataCentres) {
		long started = 0;
		for (long seed = 0; seed < SEEDS; seed++) {
			started += run(seed, dataCentres, TokenFault.NONE);
		}
		Truth.assertWithMessage("steps with the larger limit nearly used up").that(started).isGreaterThan(0);
	}

	@ParameterizedTest
	@EnumSource(value = TokenFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void anInjectedFaultIsDetected(TokenFault fault) {
		OptionalLong detected = LongStream.range(0, FAULT_SEEDS).filter((seed) -> isDetected(seed, fault)).findFirst();
		System.out.printf("%s is detected with seed %s%n", fault, detected);
		Truth.assertWithMessage("one of %s seeds detects %s", FAULT_SEEDS, fault).that(detected.isPresent()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 6 })
	void afterTheLeaseOnlyTheBaseShareOfAPartitionedDataCentreIsUnusable(int dataCentres) {
		int limit = 40;
		SimulatedFleet fleet = fleet(77, dataCentres, 0, TokenFault.NONE, limit);
		steps(fleet, 1200);
		fleet.partition(1);
		long partitionedHosts = fleet.hosts.stream()
			.filter((host) -> fleet.partitioned.contains(host.dataCentre))
			.count();
		int atStart = fleet.countOf(BOOKING, false);
		steps(fleet, 1200);
		int afterLease = fleet.countOf(BOOKING, false);
		System.out.printf("partition of 1 of %d data centres (%d of 7 hosts), limit %d: unusable %d at its start, "
				+ "%d after 60 s%n", dataCentres, partitionedHosts, limit, atStart, afterLease);
		Truth.assertThat(afterLease).isAtMost((int) partitionedHosts * (limit / (SimulatedFleet.HOSTS + 1)));
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 6 })
	void runningHostsThatAreForgottenGetTokensAgain(int dataCentres) {
		SimulatedFleet fleet = fleet(78, dataCentres, 0.05, TokenFault.NONE, 40);
		steps(fleet, 400);
		fleet.hosts.forEach(fleet::forget);
		// The tokens of the forgotten incarnations are released after 72 s.
		steps(fleet, 1800);
		Truth.assertThat(fleet.startedIncarnationCount).isAtLeast(SimulatedFleet.HOSTS);
		for (SimulatedHost host : fleet.hosts) {
			Truth.assertWithMessage("tokens of %s", host.holder).that(fleet.countOf(BOOKING, host.holder)).isAtLeast(1);
		}
	}

	private static boolean isDetected(long seed, TokenFault fault) {
		try {
			run(seed, 3, fault);
			return false;
		}
		catch (AssertionError ex) {
			return true;
		}
	}

	private static long run(long seed, int dataCentres, TokenFault fault) {
		RandomGenerator random = new SplittableRandom(seed + 1000);
		SimulatedFleet fleet = fleet(seed, dataCentres, 0.05, fault, 40);
		long nearLimit = 0;
		for (int step = 0; step < STEPS; step++) {
			fleet.step(HEAVY);
			injectEvents(fleet, random);
			nearLimit += (fleet.runningOf(BOOKING) >= 30) ? 1 : 0;
		}
		Truth.assertWithMessage("reports that were sent as deltas").that(fleet.deltaReportCount).isGreaterThan(100);
		Truth.assertWithMessage("pushed grants that were applied").that(fleet.pushedCount).isGreaterThan(10);
		return nearLimit;
	}

	private static void injectEvents(SimulatedFleet fleet, RandomGenerator random) {
		if (random.nextInt(1000) == 0) {
			fleet.changeLeader();
		}
		if (random.nextInt(800) == 0) {
			fleet.restart(fleet.hosts.get(random.nextInt(SimulatedFleet.HOSTS)));
		}
		if (random.nextInt(1500) == 0) {
			fleet.partition(1);
		}
		if (random.nextInt(1500) == 0) {
			fleet.partitioned.clear();
		}
		if (random.nextInt(1500) == 0) {
			fleet.forget(fleet.hosts.get(random.nextInt(SimulatedFleet.HOSTS)));
		}
		if (random.nextInt(200) == 0) {
			fleet.changeJobs();
		}
	}

	private static void steps(SimulatedFleet fleet, int count) {
		for (int step = 0; step < count; step++) {
			fleet.step(HEAVY);
		}
	}

	private static SimulatedFleet fleet(long seed, int dataCentres, double lossFraction, TokenFault fault, int limit) {
		SimulatedFleet fleet = new SimulatedFleet(seed, dataCentres, lossFraction, fault);
		PoolName pool = new PoolName("p");
		fleet.apply(new ConfigurationCommand.CreatePool(pool, AvailabilityBudget.DEFAULT, false));
		fleet.apply(new ConfigurationCommand.AddHost(
				new HostSpec(new HostName("w"), new DataCentre("dc-0"), new Rack("r"), new Resources(1, 1, 0)), pool));
		fleet.limits.put(BOOKING, limit);
		fleet.limits.put(PAYROLL, 7);
		fleet.limits.forEach(
				(team, count) -> fleet.apply(new ConfigurationCommand.CreateTeam(new TeamSpec(team, 1, count, 0))));
		return fleet;
	}

}
