package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.run.RunSpec;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MaintenancePhase;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class FleetLeaderTests {

	private static final int SEEDS = 60;

	/** Longer than all leases and timeouts together. */
	private static final int RECOVERY_MILLIS = 40_000;

	@Test
	void aJobOfThreeStepsIsCompleted() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(1), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("job", 3, 6, false);
		fleet.run(30_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
		Truth.assertThat(fleet.violations()).isEmpty();
	}

	@Test
	void aGangIsCompletedAlthoughItsMembersEndOnSeveralRunners() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(2), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("gang", 1, 8, true);
		fleet.run(30_000);
		Truth.assertThat(fleet.phase("gang")).hasValue(BatchJobPhase.COMPLETED);
		Truth.assertThat(fleet.runningCount()).isEqualTo(0);
	}

	/** Guards against runs that continue after their job was cancelled. */
	@Test
	void aCancelledJobLeavesNoActiveRuns() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(3), new SimulatedFleet.Faults(0.2, 0.1), 3, 20);
		fleet.run(1_000);
		fleet.submit("job", 2, 10, false);
		fleet.run(300);
		fleet.cancel("job");
		fleet.run(20_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.CANCELLED);
		Truth.assertThat(fleet.runningCount()).isEqualTo(0);
		Truth.assertThat(fleet.state().runs().runners()).isEmpty();
	}

	/**
	 * Guards against a second run of a task while the first one is still active behind a
	 * network partition.
	 */
	@Test
	void aTaskOnAPartitionedRunnerIsRestartedOnlyAfterTheLeaseHasExpired() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), SimulatedFleet.Faults.NONE, 3, 20);
			fleet.run(1_000);
			fleet.submit("job", 2, 10, false);
			fleet.run(200 + 10 * seed);
			fleet.cutOff("r1", 12_000);
			fleet.run(60_000);
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.overdue()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.reportedOverdue()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
		}
	}

	/**
	 * Guards against tasks that wait for a lease to expire although no order for them was
	 * sent. Occurs when a runner is partitioned while many tasks start.
	 */
	@Test
	void aSilentRunnerKeepsOnlyTheTaskOfTheOpenOrder() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), SimulatedFleet.Faults.NONE, 3, 20);
			fleet.run(1_000 + 10 * seed);
			fleet.cutOff("r1", 30_000);
			fleet.submit("job", 1, 13, false);
			fleet.run(1_000);
			long assigned = fleet.state()
				.runs()
				.runners()
				.stream()
				.filter((runner) -> runner.id().equals("r1"))
				.mapToLong((runner) -> fleet.state().runs().on(runner).size())
				.sum();
			Truth.assertWithMessage("seed %s", seed).that(assigned).isAtMost(1);
		}
	}

	/** Guards against tasks that are moved away although their runner answers. */
	@Test
	void aRunnerThatAnswersKeepsTheTasksThatWaitForTheirOrder() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(5), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("job", 3, 13, false);
		fleet.run(30_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
		Truth.assertThat(fleet.releaseCount()).isEqualTo(0);
	}

	/**
	 * Guards against runs started by an unanswered order that is carried out seconds
	 * later.
	 */
	@Test
	void lostAndLateOrdersViolateNoInvariant() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), new SimulatedFleet.Faults(0.15, 0.25), 4, 20);
			runJobs(fleet, new Random(seed + 1_000L), false);
			fleet.recover(RECOVERY_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.overdue()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.reportedOverdue()).isEmpty();
		}
	}

	/**
	 * Guards against a new leader that does not know which runs an earlier one has
	 * started.
	 */
	@Test
	void crashesPartitionsAndLeaderChangesViolateNoInvariant() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), new SimulatedFleet.Faults(0.05, 0.1), 4, 20);
			runJobs(fleet, new Random(seed + 2_000L), true);
			fleet.recover(RECOVERY_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.overdue()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.reportedOverdue()).isEmpty();
			for (int job = 0; job < 8; job++) {
				// A job may be completed before its cancellation arrives.
				boolean isCancelled = job % 4 == 3 && fleet.phase("job" + job).get() != BatchJobPhase.COMPLETED;
				Truth.assertWithMessage("seed %s job %s", seed, job)
					.that(fleet.phase("job" + job))
					.hasValue(isCancelled ? BatchJobPhase.CANCELLED : BatchJobPhase.COMPLETED);
			}
		}
	}

	/**
	 * Verifies the checks themselves: runners that continue after their lease must be
	 * detected.
	 */
	@Test
	void theChecksDetectRunnersThatIgnoreTheirLease() {
		int violations = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), SimulatedFleet.Faults.NONE, 3, 20);
			fleet.ignoreLeases();
			fleet.run(1_000);
			fleet.submit("job", 2, 10, false);
			fleet.run(200 + 10 * seed);
			fleet.cutOff("r1", 30_000);
			fleet.run(60_000);
			violations += fleet.violations().size();
		}
		Truth.assertThat(violations).isGreaterThan(0);
	}

	/**
	 * Guards against a number of waiting jobs that is too low. Occurs when a job is
	 * assigned to a runner that its order does not reach.
	 */
	@Test
	void aJobIsWaitingUntilARunnerHasBegunOneOfItsTasks() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(6), SimulatedFleet.Faults.NONE, 1, 20);
		fleet.run(1_000);
		fleet.cutOff("r0", 20_000);
		fleet.submit("job", 1, 1, false);
		fleet.run(300);
		Truth.assertThat(fleet.state().runs().runners()).hasSize(1);
		Truth.assertThat(fleet.state().queuedJobCount(BatchFixtures.addressOf("queue"))).isEqualTo(1);
		fleet.run(19_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.QUEUED);
		fleet.recover(RECOVERY_MILLIS);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
	}

	/** Guards against a job that counts as waiting while its tasks are running. */
	@Test
	void aJobIsRunningWithinASecondAfterARunnerHasBegunOneOfItsTasks() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(7), SimulatedFleet.Faults.NONE, 2, 20);
		fleet.run(1_000);
		fleet.submitLongRunning("lasts", 2);
		fleet.run(1_000);
		Truth.assertThat(fleet.phase("lasts")).hasValue(BatchJobPhase.RUNNING);
		Truth.assertThat(fleet.state().queuedJobCount(BatchFixtures.addressOf("queue"))).isEqualTo(0);
	}

	/**
	 * Guards against a job that counts as waiting after a change of leader. Occurs when
	 * the earlier leader has not recorded the start.
	 */
	@Test
	void aNewLeaderRecordsTheStartThatAnEarlierOneHasNotRecorded() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(8), SimulatedFleet.Faults.NONE, 2, 20);
		fleet.run(1_000);
		fleet.submitLongRunning("lasts", 1);
		while (fleet.runningCount() == 0) {
			fleet.run(10);
		}
		Truth.assertThat(fleet.phase("lasts")).hasValue(BatchJobPhase.QUEUED);
		fleet.changeLeader();
		fleet.run(1_000);
		Truth.assertThat(fleet.phase("lasts")).hasValue(BatchJobPhase.RUNNING);
	}

	/**
	 * Guards against two simultaneous runs of a task. Occurs when a runner starts again
	 * under its identifier and carries out a start that was sent to its earlier
	 * incarnation.
	 */
	@Test
	void aStartForAnEarlierIncarnationOverlapsWithNoOtherRun() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), SimulatedFleet.Faults.NONE, 3, 20);
			fleet.nameOnlyIdentifiers();
			fleet.run(1_000);
			fleet.submit("job", 1, 13, false);
			for (int crash = 0; crash < 20; crash++) {
				fleet.run(20 + 3 * seed);
				fleet.crash("r1", 1);
			}
			fleet.recover(RECOVERY_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
		}
	}

	private static void runJobs(SimulatedFleet fleet, Random random, boolean withFaults) {
		fleet.run(1_000);
		for (int job = 0; job < 8; job++) {
			fleet.submit("job" + job, 1 + random.nextInt(3), 1 + random.nextInt(6), random.nextInt(4) == 0);
			fleet.run(random.nextInt(1_500));
			if (job % 4 == 3) {
				fleet.cancel("job" + job);
			}
			if (withFaults) {
				String runner = "r" + random.nextInt(4);
				switch (random.nextInt(4)) {
					case 0 -> fleet.crash(runner, 500 + random.nextInt(3_000));
					case 1 -> fleet.cutOff(runner, 500 + random.nextInt(9_000));
					case 2 -> fleet.changeLeader();
					default -> fleet.run(500);
				}
			}
		}
		fleet.run(120_000);
	}

	/**
	 * Guards against a new leader that opens all connections at once and is replaced in
	 * the meantime. Occurs at a change of leader in a fleet of hundreds of runners.
	 */
	@Test
	void aNewLeaderLimitsTheRateOfFirstContacts() {
		FirstContactSimulation contacts = new FirstContactSimulation(250, 0, 10);
		contacts.run(3_000);
		Truth.assertThat(contacts.maximumBurst()).isAtMost(8);
		Truth.assertThat(contacts.contactedCount()).isEqualTo(250);
	}

	/**
	 * Guards against a new leader that opens connections faster than its host can handle,
	 * which delays its election heartbeats. Occurs at an election on a host that needs 25
	 * ms for each of 250 first answers.
	 */
	@Test
	void aNewLeaderOnASlowHostLimitsThePendingFirstContacts() {
		FirstContactSimulation contacts = new FirstContactSimulation(250, 0, 200);
		contacts.run(8_000);
		Truth.assertThat(contacts.maximumPending()).isAtMost(8);
		Truth.assertThat(contacts.contactedCount()).isEqualTo(250);
	}

	/**
	 * Guards against connections that time out before a busy host has handled their
	 * answers, and are then opened again. Occurs at an election on a host that needs 60
	 * ms of CPU time for each connection to 250 runners.
	 */
	@Test
	void aNewLeaderContactsAllRunnersOnAHostThatIsSlowerThanTheirAnswers() {
		SlowLeaderSimulation contacts = new SlowLeaderSimulation(250, 60);
		contacts.run(40_000);
		Truth.assertThat(contacts.contactedCount()).isEqualTo(250);
	}

	/**
	 * Guards against two runs of a task whose ends are both accepted. Occurs when a
	 * runner answers again after its run was released and the task was started elsewhere.
	 */
	@Test
	void theEndOfARunThatWasReplacedIsNotAcknowledged() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		TaskId task = new TaskId("job", 0, 0, 0);
		BatchState state = new BatchState();
		state.apply(new CommandGroup(1_000,
				List.of(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")),
						BatchFixtures.register(runner),
						BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))),
						new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 1, runner.key()))),
						new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(task, 1, ""))),
						new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 2, runner.key()))))));
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		RunnerDispatch first = leader.dueOrders(1_000).get(0);
		List<BatchCommand.End> ends = List.of(new BatchCommand.End(1, task, 1, RunOutcome.DONE, ""));
		leader.onReply(first, new RunnerReply.Listing(1_010, OptionalLong.of(1), List.of(), ends, true), 1_010);
		BatchCommand committed = leader.drainProposals().get(0);
		state.apply(new CommandGroup(1_020, List.of(committed)));
		leader.onApplied(committed, 1_020);
		List<Long> acknowledged = leader.dueOrders(1_050)
			.stream()
			.map(RunnerDispatch::order)
			.filter(RunnerOrder.Heartbeat.class::isInstance)
			.map((order) -> ((RunnerOrder.Heartbeat) order).acknowledgedEnd())
			.toList();
		Truth.assertThat(acknowledged).containsExactly(0L);
	}

	/**
	 * Guards against two runs of a task whose ends are both accepted. Occurs when a
	 * runner is removed while its lease is in force and registers again long after the
	 * election.
	 */
	@Test
	void theEndOfAReplacedRunIsNotAcknowledgedByALaterSessionWhileAnEarlierLeaseIsInForce() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		TaskId task = new TaskId("job", 0, 0, 0);
		BatchState state = stateWithJob(runner);
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		commit(leader, state, 1_000,
				new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 1, runner.key()))));
		answerHeartbeat(leader, runner, List.of(), 99_900);
		Truth.assertThat(starts(leader, 99_950)).hasSize(1);
		RunnerRecord other = BatchFixtures.runner("r2", "pool", 1);
		commit(leader, state, 100_000, new BatchCommand.RemoveRunner(runner.key()));
		commit(leader, state, 100_000, BatchFixtures.register(runner));
		commit(leader, state, 100_000, BatchFixtures.register(other));
		commit(leader, state, 100_000,
				new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 2, other.key()))));
		answerHeartbeat(leader, runner, List.of(new BatchCommand.End(1, task, 1, RunOutcome.DONE, "")), 100_010);
		leader.drainProposals().forEach((command) -> commit(leader, state, 100_020, command));
		List<Long> acknowledged = heartbeats(leader, runner, 100_100).stream()
			.map(RunnerOrder.Heartbeat::acknowledgedEnd)
			.toList();
		Truth.assertThat(acknowledged).containsExactly(0L);
	}

	/**
	 * Guards against two simultaneous runs of a task. Occurs when a silent runner answers
	 * again and an assignment to it is committed while its removal is being committed:
	 * the removal ends the run, although the runner has begun it.
	 */
	@Test
	void nothingIsOrderedFromARunnerWhoseRemovalIsBeingCommitted() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		BatchState state = stateWithJob(runner);
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		answerHeartbeat(leader, runner, List.of(), 1_010);
		leader.decide(1_030, 1_030);
		List<BatchCommand> assigned = leader.drainProposals();
		Truth.assertThat(assigned).hasSize(1);
		RunnerDispatch unanswered = heartbeatDispatches(leader, runner, 1_040).get(0);
		leader.onReply(unanswered, RunnerReply.NoAnswer.UNKNOWN, 2_000);
		leader.decide(15_000, 15_000);
		Truth.assertThat(leader.drainProposals()).containsExactly(new BatchCommand.RemoveRunner(runner.key()));
		RunnerDispatch late = new RunnerDispatch(runner, 1_000,
				new RunnerOrder.Heartbeat(2, 0, OptionalLong.empty(), 0), 0);
		commit(leader, state, 15_010, assigned.get(0));
		leader.onReply(late, new RunnerReply.Listing(14_000, OptionalLong.of(1), List.of(), List.of(), true), 15_020);
		leader.decide(15_050, 15_050);
		Truth.assertThat(starts(leader, 15_050)).isEmpty();
		commit(leader, state, 15_060, new BatchCommand.RemoveRunner(runner.key()), BatchFixtures.register(runner));
		answerHeartbeat(leader, runner, List.of(), 15_100);
		Truth.assertThat(starts(leader, 15_150)).isEmpty();
	}

	/**
	 * Guards against a leader that takes its own pause for the silence of a runner.
	 * Occurs when the timeouts that passed in the pause are handled before the answers.
	 */
	@Test
	void aLeaderThatPausedForLessThanALeaseReleasesNoRunThatItHasOrdered() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		TaskId task = new TaskId("job", 0, 0, 0);
		BatchState state = stateWithJob(runner);
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		answerHeartbeat(leader, runner, List.of(), 1_010);
		commit(leader, state, 1_030,
				new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 1, runner.key()))));
		List<RunnerDispatch> orders = leader.dueOrders(1_040);
		Truth.assertThat(orders).hasSize(2);
		long resumedMillis = 1_000 + SimulatedFleet.SETTINGS.sessions().leaseMillis();
		leader.decide(resumedMillis, resumedMillis);
		orders.forEach((order) -> leader.onReply(order, RunnerReply.NoAnswer.UNKNOWN, resumedMillis));
		leader.decide(resumedMillis + 20, resumedMillis + 20);
		Truth.assertThat(leader.drainProposals()).isEmpty();
		RunnerReply.RunningTask running = new RunnerReply.RunningTask(task, 1, "", 50, OptionalInt.empty());
		RunnerDispatch next = heartbeatDispatches(leader, runner, resumedMillis + 600).get(0);
		leader.onReply(next,
				new RunnerReply.Listing(resumedMillis, OptionalLong.of(1), List.of(running), List.of(), true),
				resumedMillis + 610);
		leader.decide(resumedMillis + 630, resumedMillis + 630);
		Truth.assertThat(leader.drainProposals())
			.containsExactly(new BatchCommand.NoteEnds(runner.key(), List.of(), List.of("job")));
	}

	private static BatchState stateWithJob(RunnerRecord runner) {
		BatchState state = new BatchState();
		state.apply(new CommandGroup(1_000,
				List.of(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")),
						BatchFixtures.register(runner),
						BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))))));
		return state;
	}

	private static void commit(FleetLeader leader, BatchState state, long nowMillis, BatchCommand... commands) {
		state.apply(new CommandGroup(nowMillis, List.of(commands)));
		List.of(commands).forEach((command) -> leader.onApplied(command, nowMillis));
	}

	private static void answerHeartbeat(FleetLeader leader, RunnerRecord runner, List<BatchCommand.End> ends,
			long nowMillis) {
		RunnerDispatch heartbeat = heartbeatDispatches(leader, runner, nowMillis).get(0);
		leader.onReply(heartbeat, new RunnerReply.Listing(nowMillis, OptionalLong.of(1), List.of(), ends, true),
				nowMillis);
	}

	private static List<RunnerOrder.Heartbeat> heartbeats(FleetLeader leader, RunnerRecord runner, long nowMillis) {
		return heartbeatDispatches(leader, runner, nowMillis).stream()
			.map(RunnerDispatch::order)
			.map(RunnerOrder.Heartbeat.class::cast)
			.toList();
	}

	private static List<RunnerDispatch> heartbeatDispatches(FleetLeader leader, RunnerRecord runner, long nowMillis) {
		return leader.dueOrders(nowMillis)
			.stream()
			.filter((dispatch) -> dispatch.runner().key().equals(runner.key()))
			.filter((dispatch) -> dispatch.order() instanceof RunnerOrder.Heartbeat)
			.toList();
	}

	private static List<RunnerOrder> starts(FleetLeader leader, long nowMillis) {
		return leader.dueOrders(nowMillis)
			.stream()
			.map(RunnerDispatch::order)
			.filter(RunnerOrder.Start.class::isInstance)
			.toList();
	}

	/**
	 * Guards against orders of two leaders for one host within the handover delay,
	 * because the time of day of the second one is ahead.
	 */
	@Test
	void aLeaderWhoseTimeOfDayIsAheadKeepsTheDelayAfterTheOrderOfItsPredecessor() {
		BatchState state = new BatchState();
		HostOrderHistory history = new HostOrderHistory(0);
		List<BatchCommand> ordered = List.of(new BatchCommand.SetUpkeep(1, "host-r1", MaintenancePhase.ORDERED),
				new BatchCommand.SetUpkeep(1, "host-r1", MaintenancePhase.PENDING));
		state.apply(new CommandGroup(1_000,
				List.of(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")),
						BatchFixtures.register(BatchFixtures.runner("r1", "pool", 1)),
						new BatchCommand.StartWave(new MaintenanceWave(1, List.of("host-r1"), 60_000, 1, 1_000)))));
		state.apply(new CommandGroup(50_000, ordered));
		ordered.forEach((command) -> history.onApplied(command, 1, 900));
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, history, 2, 1_000);
		List<BatchCommand> proposed = new ArrayList<>();
		for (long nowMillis = 1_000; nowMillis < 1_900; nowMillis += 20) {
			leader.decide(nowMillis, 52_000 + nowMillis);
			proposed.addAll(leader.drainProposals());
		}
		Truth.assertThat(proposed).isEmpty();
		for (long nowMillis = 1_900; nowMillis < 2_000; nowMillis += 20) {
			leader.decide(nowMillis, 52_000 + nowMillis);
			proposed.addAll(leader.drainProposals());
		}
		Truth.assertThat(proposed).containsExactly(ordered.get(0));
	}

	/**
	 * Guards against a runner whose ends are never acknowledged again. The end of a run
	 * that was replaced does not count once the lease has expired after it, so the leader
	 * lets the lease of the idle runner expire.
	 */
	@Test
	void theEndOfARunThatWasReplacedIsAcknowledgedAfterTheLeaseHasExpired() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		SessionSettings settings = SimulatedFleet.SETTINGS.sessions();
		RunnerSession session = new RunnerSession(runner, settings, 2, 1_000);
		List<BatchCommand.End> ends = List
			.of(new BatchCommand.End(7, new TaskId("job", 0, 0, 0), 1, RunOutcome.DONE, ""));
		RunnerReply.Listing listing = new RunnerReply.Listing(1_000, OptionalLong.of(1), List.of(), ends, true);
		session.nextHeartbeat(1_000);
		session.onHeartbeatReply(listing, 1_010);
		session.withholdAcknowledgement(7);
		session.onEndsCommitted(7);
		Truth.assertThat(session.isUsable(1_010)).isFalse();
		long expiryMillis = 1_000 + settings.earlierLeaseExpiryMillis();
		for (long nowMillis = 1_100; nowMillis < expiryMillis; nowMillis += 100) {
			RunnerOrder.Heartbeat heartbeat = session.nextHeartbeat(nowMillis).get();
			Truth.assertThat(heartbeat.acknowledgedEnd()).isEqualTo(6);
			Truth.assertThat(heartbeat.leaseEndMillis()).isEqualTo(OptionalLong.empty());
			session.onHeartbeatReply(listing, nowMillis + 10);
		}
		session.nextHeartbeat(expiryMillis);
		session.onHeartbeatReply(listing, expiryMillis + 10);
		Truth.assertThat(session.isUsable(expiryMillis + 10)).isTrue();
		RunnerOrder.Heartbeat next = session.nextHeartbeat(expiryMillis + 20).get();
		Truth.assertThat(next.acknowledgedEnd()).isEqualTo(7);
		Truth.assertThat(next.leaseEndMillis().isPresent()).isTrue();
	}

	/**
	 * Guards against runs that are released and started again although their runner was
	 * not contacted. Occurs when a leader does not reach all runners before the leases
	 * granted by an earlier leader expire.
	 */
	@Test
	void aRunIsNotReleasedBeforeItsRunnerWasContacted() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		RunnerSession session = new RunnerSession(runner, SimulatedFleet.SETTINGS.sessions(), 2, 1_000);
		Truth.assertThat(session.haveRunsEnded(60_000)).isFalse();
		session.nextHeartbeat(60_000);
		Truth.assertThat(session.haveRunsEnded(60_100)).isFalse();
		session.onHeartbeatReply(RunnerReply.NoAnswer.UNKNOWN, 60_400);
		Truth.assertThat(session.haveRunsEnded(60_400)).isTrue();
	}

	/**
	 * Guards against two simultaneous runs of a task. Occurs when a partition heals while
	 * the release of the runs behind it is being committed on a busy host.
	 */
	@Test
	void aRunIsNotOrderedAgainWhileItsReleaseIsBeingCommitted() {
		RunnerRecord runner = BatchFixtures.runner("r1", "pool", 1);
		RunnerSession session = new RunnerSession(runner, SimulatedFleet.SETTINGS.sessions(), 2, 1_000);
		RunnerReply.Listing listing = new RunnerReply.Listing(1_000, OptionalLong.of(1), List.of(), List.of(), true);
		session.nextHeartbeat(1_000);
		session.onHeartbeatReply(listing, 1_000);
		session.add(new Run(new TaskId("job", 0, 0, 0), 1, runner.key(), "team", Resources.NONE, Resources.NONE, false),
				new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()), false);
		Truth.assertThat(session.nextOrder(1_010)).isPresent();
		session.onOrderReply(new RunnerOrder.Stop(2, new TaskId("other", 0, 0, 0), 1), RunnerReply.NoAnswer.UNKNOWN,
				1_400);
		Truth.assertThat(session.haveRunsEnded(20_000)).isTrue();
		Truth.assertThat(session.releaseAll()).hasSize(1);
		session.nextHeartbeat(20_010);
		session.onHeartbeatReply(listing, 20_020);
		Truth.assertThat(session.nextOrder(20_500)).isEmpty();
	}

	/**
	 * Guards against leases that expire while a new leader contacts runners without
	 * tasks. Occurs at an election in a fleet with few busy hosts.
	 */
	@Test
	void aNewLeaderContactsRunnersWithTasksFirst() {
		BatchState state = new BatchState();
		List<BatchCommand> commands = new ArrayList<>();
		commands.add(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")));
		for (int number = 10; number < 30; number++) {
			commands.add(BatchFixtures.register(BatchFixtures.runner("r" + number, "pool", 1)));
		}
		commands.add(BatchFixtures.submit("ends", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		commands.add(BatchFixtures.submit("lasts", "queue-pool", "team",
				BatchFixtures.job(BatchFixtures.longRunning(1, 1, 1))));
		commands.add(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId("ends", 0, 0, 0), 1, new RunnerKey("r20", 1)),
						new BatchCommand.Assignment(new TaskId("lasts", 0, 0, 0), 1, new RunnerKey("r29", 1)))));
		state.apply(new CommandGroup(1_000, commands));
		FleetLeader leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		List<String> contacted = leader.dueOrders(1_000)
			.stream()
			.map((dispatch) -> dispatch.runner().key().id())
			.limit(3)
			.toList();
		Truth.assertThat(contacted).containsExactly("r29", "r20", "r10").inOrder();
	}

	/**
	 * Guards against runners that are gone and delay the contact with others after an
	 * election.
	 */
	@Test
	void runnersThatAreGoneDoNotDelayFirstContactsWithOthers() {
		FirstContactSimulation contacts = new FirstContactSimulation(250, 50, 10);
		contacts.run(8_000);
		Truth.assertThat(contacts.contactedCount()).isEqualTo(250);
	}

}
