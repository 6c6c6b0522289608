package io.burdockpin.core.batch.lead.wave;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.SimulatedFleet;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.run.RunSpec;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MaintenancePhase;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WaveControllerTests {

	private static final int HOSTS = 6;

	private final BatchState state = new BatchState();

	private final Map<RunnerKey, RunnerSession> sessions = new HashMap<>();

	private final Map<String, Long> downUntilMillis = new HashMap<>();

	private final Set<String> silentRunners = new HashSet<>();

	/** Hosts whose runner does not return from their maintenance. */
	private final Set<String> lostHosts = new HashSet<>();

	private long nowMillis = 100_000;

	private WaveController controller;

	@BeforeEach
	void configure() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool")));
		for (int number = 0; number < HOSTS; number++) {
			register(BatchFixtures.runner("r" + number, "pool", 1));
		}
		this.controller = new WaveController(this.state, new WaveSettings(3_000, 500, 2_000, 2_000, 200),
				new HostOrderHistory(0), 1, this.nowMillis);
	}

	/** Guards against orders of two leaders for one host within the handover delay. */
	@Test
	void aNewLeaderDelaysOrdersForHostsOrderedByAnEarlierLeader() {
		startWave(2);
		apply(new BatchCommand.SetUpkeep(1, "host-r0", MaintenancePhase.ORDERED));
		for (int round = 0; round < 29; round++) {
			step(100);
		}
		Truth.assertThat(this.downUntilMillis).doesNotContainKey("host-r0");
		Truth.assertThat(this.downUntilMillis).isNotEmpty();
		for (int round = 0; round < 5; round++) {
			step(100);
		}
		Truth.assertThat(this.downUntilMillis).containsKey("host-r0");
	}

	/** Guards against more hosts down than the operator allows. */
	@Test
	void aWaveLimitsTheHostsThatAreDownAndCompletesWhenAllHaveReturned() {
		startWave(2);
		for (int round = 0; round < 400; round++) {
			step(100);
			Truth.assertThat(this.downUntilMillis.values().stream().filter((until) -> until > this.nowMillis).count())
				.isAtMost(2);
		}
		Truth.assertThat(this.downUntilMillis).hasSize(HOSTS);
		Truth.assertThat(this.state.waves().get(1L).isCompleted()).isTrue();
	}

	/** Guards against a wave that waits for ever for a runner that was lost. */
	@Test
	void aWaveIsCompletedAlthoughTheRunnerOfAHostDoesNotReturn() {
		this.lostHosts.add("host-r0");
		startWave(1);
		for (int round = 0; round < 400; round++) {
			step(100);
			Truth.assertThat(this.downUntilMillis.values().stream().filter((until) -> until > this.nowMillis).count())
				.isAtMost(1);
		}
		Truth.assertThat(this.downUntilMillis).hasSize(HOSTS);
		Truth.assertThat(this.state.waves().get(1L).isCompleted()).isTrue();
	}

	/**
	 * Guards against two waves that wait for each other for ever, and against more hosts
	 * down than either allows. Occurs when the waves have hosts in common: each ends the
	 * drains that the other has begun on a host that it has maintained itself, and one
	 * order counts for both.
	 */
	@Test
	void wavesWithHostsInCommonMaintainThemOneAfterTheOther() {
		startWave(1, 2);
		step(3_100);
		startWave(2, 2);
		for (int round = 0; round < 800; round++) {
			step(100);
			for (int number = 0; number < HOSTS; number++) {
				String host = "host-r" + number;
				Truth.assertWithMessage(host)
					.that(this.state.waves()
						.values()
						.stream()
						.filter((wave) -> wave.hosts().get(host).isDown())
						.count())
					.isAtMost(1);
			}
		}
		Truth.assertThat(this.state.waves().get(1L).hosts().values()).doesNotContain(MaintenancePhase.PENDING);
		Truth.assertThat(this.state.waves().get(1L).isCompleted()).isTrue();
		Truth.assertThat(this.state.waves().get(2L).isCompleted()).isTrue();
	}

	/**
	 * Guards against a wave that is late, because the hosts whose tasks stop one after
	 * the other are left for its end.
	 */
	@Test
	void aWaveBeginsWithTheHostsOfLongRunningTasks() {
		runLongRunningStep(List.of("r4", "r5"));
		startWave(4);
		step(3_100);
		Truth.assertThat(this.controller.isDraining("host-r4")).isTrue();
		Truth.assertThat(this.controller.isDraining("host-r5")).isTrue();
	}

	/** Guards against slots that all wait for the availability budget of one step. */
	@Test
	void hostsOfLongRunningTasksLeaveHalfOfTheSlotsToTheOthers() {
		runLongRunningStep(runners(1));
		startWave(4);
		step(3_100);
		step(100);
		step(100);
		Truth.assertThat(this.downUntilMillis).containsKey("host-r0");
	}

	/**
	 * Guards against a step that loses more tasks at a time than its availability budget
	 * allows.
	 */
	@Test
	void longRunningTasksAreStoppedWithinTheBudgetOfTheirStep() {
		runLongRunningStep(runners(0));
		startWave(3);
		step(3_100);
		step(100);
		long stopping = this.sessions.values()
			.stream()
			.filter((session) -> this.state.runs()
				.on(session.runner().key())
				.stream()
				.anyMatch((run) -> session.isStopping(run.task())))
			.count();
		Truth.assertThat(stopping).isEqualTo(1);
	}

	/**
	 * Guards against a stop while the other tasks of the step have died with their
	 * runner.
	 */
	@Test
	void tasksOnASilentRunnerCountAsUnavailable() {
		runLongRunningStep(List.of("r0", "r1"));
		step(100);
		this.silentRunners.add("r1");
		step(SimulatedFleet.SETTINGS.sessions().silenceTimeoutMillis() + 100);
		startWave(HOSTS);
		for (int round = 0; round < 60; round++) {
			step(100);
			Truth.assertThat(this.sessions.get(new RunnerKey("r0", 1)).isStopping(new TaskId("job", 0, 0, 0)))
				.isFalse();
		}
	}

	/**
	 * Guards against maintenance that ends a task whose assignment was committed between
	 * the check of the host and the commit of its maintenance.
	 */
	@Test
	void aHostThatWasAssignedATaskInTheMeantimeIsNotMaintained() {
		startWave(HOSTS);
		step(3_100);
		this.nowMillis += 100;
		this.controller.tick(this.sessions, this.nowMillis);
		List<BatchCommand> ordered = this.controller.drainProposals();
		apply(BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		assign(new TaskId("job", 0, 0, 0), "r0");
		ordered.forEach(this::apply);
		step(100);
		step(100);
		Truth.assertThat(this.downUntilMillis).doesNotContainKey("host-r0");
		Truth.assertThat(this.downUntilMillis).containsKey("host-r1");
	}

	/**
	 * Guards against maintenance that an earlier leader committed and a new one orders
	 * while the host runs a task of a long-running step whose other tasks are
	 * unavailable.
	 */
	@Test
	void aNewLeaderCancelsTheMaintenanceOfAHostWithAnAvailableTask() {
		runLongRunningStep(List.of("r0", "r1"));
		step(100);
		this.silentRunners.add("r1");
		startWave(HOSTS);
		apply(new BatchCommand.SetUpkeep(1, "host-r0", MaintenancePhase.ORDERED));
		for (int round = 0; round < 60; round++) {
			step(100);
		}
		Truth.assertThat(this.downUntilMillis).doesNotContainKey("host-r0");
		Truth.assertThat(this.downUntilMillis).containsKey("host-r2");
	}

	/**
	 * Guards against a wave that waits for the end of a heartbeat each time before the
	 * next task is stopped.
	 */
	@Test
	void theRunnerOfAStartingTaskThatHoldsUpAStopIsAskedMoreOften() {
		runLongRunningStep(List.of("r0", "r1"));
		RunnerSession starting = this.sessions.get(new RunnerKey("r1", 1));
		this.silentRunners.add("r1");
		Truth.assertThat(waitMillis(starting)).isEqualTo(SimulatedFleet.SETTINGS.sessions().longPollMillis());
		startWave(1);
		step(3_100);
		Truth.assertThat(this.controller.isDraining("host-r0")).isTrue();
		starting.onHeartbeatReply(new RunnerReply.Listing(this.nowMillis, OptionalLong.of(1),
				List.of(new RunnerReply.RunningTask(new TaskId("job", 0, 0, 1), 1, "", 40, OptionalInt.empty())),
				List.of(), true), this.nowMillis);
		step(20);
		Truth.assertThat(waitMillis(starting)).isLessThan(200);
	}

	/** Guards against a phase that is proposed repeatedly until it is committed. */
	@Test
	void aPhaseIsProposedOnceUntilItIsCommitted() {
		startWave(1);
		step(3_100);
		int proposals = 0;
		for (int round = 0; round < 5; round++) {
			this.controller.tick(this.sessions, this.nowMillis);
			proposals += this.controller.drainProposals().size();
		}
		Truth.assertThat(proposals).isEqualTo(1);
	}

	/** Guards against maintenance that is ordered while the host is being moved. */
	@Test
	void aHostThatIsMovingWaitsForTheEndOfItsMove() {
		apply(new BatchCommand.SetMove("host-r0", "pool", MovePhase.ORDERED));
		startWave(HOSTS);
		step(3_100);
		step(100);
		step(100);
		Truth.assertThat(this.downUntilMillis).doesNotContainKey("host-r0");
		Truth.assertThat(this.downUntilMillis).containsKey("host-r1");
		apply(new BatchCommand.SetMove("host-r0", "pool", MovePhase.OVER));
		for (int round = 0; round < 40; round++) {
			step(100);
		}
		Truth.assertThat(this.downUntilMillis).containsKey("host-r0");
	}

	/**
	 * Guards against a runner that restarted just before the maintenance of its host and
	 * is mistaken for the one that returns from it, so that one host too many is down.
	 */
	@Test
	void aRunnerThatStartedBeforeTheMaintenanceDoesNotCountAsReturned() {
		startWave(1);
		step(3_100);
		step(100);
		step(100);
		String host = this.downUntilMillis.keySet().iterator().next();
		register(BatchFixtures.runner(host.substring("host-".length()), "pool", this.nowMillis - 50));
		for (int round = 0; round < 18; round++) {
			step(100);
		}
		Truth.assertThat(this.downUntilMillis).hasSize(1);
	}

	private static List<String> runners(int first) {
		return IntStream.range(first, HOSTS).mapToObj((number) -> "r" + number).toList();
	}

	/** Runs a step with one task per runner, of which one may be away at a time. */
	private void runLongRunningStep(List<String> runners) {
		apply(BatchFixtures.submit("job", "queue-pool", "team",
				BatchFixtures.job(BatchFixtures.longRunning(runners.size(), 1, 1))));
		for (int index = 0; index < runners.size(); index++) {
			assign(new TaskId("job", 0, 0, index), runners.get(index));
		}
	}

	private void startWave(int maximumDown) {
		startWave(1, maximumDown);
	}

	private void startWave(long number, int maximumDown) {
		List<String> hosts = new ArrayList<>();
		for (int runner = 0; runner < HOSTS; runner++) {
			hosts.add("host-r" + runner);
		}
		apply(new BatchCommand.StartWave(new MaintenanceWave(number, hosts, 20_000, maximumDown, this.nowMillis)));
	}

	private void step(long millis) {
		this.nowMillis += millis;
		this.sessions.values().forEach(this::heartbeat);
		this.controller.tick(this.sessions, this.nowMillis);
		this.controller.drainOrders().forEach((order) -> {
			this.downUntilMillis.put(order.host(), this.nowMillis + 2_000);
			this.controller.onReply((HostOrder.Maintenance) order, HostReply.DONE, this.nowMillis);
		});
		this.controller.drainProposals().forEach(this::apply);
		this.downUntilMillis.forEach((host, until) -> {
			boolean isBack = until <= this.nowMillis && this.state.runnerOn(host).isEmpty()
					&& !this.lostHosts.contains(host);
			if (isBack) {
				register(BatchFixtures.runner(host.substring("host-".length()), "pool", this.nowMillis));
			}
		});
	}

	private int waitMillis(RunnerSession session) {
		return session.nextHeartbeat(this.nowMillis).get().waitMillis();
	}

	private void heartbeat(RunnerSession session) {
		if (this.silentRunners.contains(session.runner().key().id())) {
			return;
		}
		List<RunnerReply.RunningTask> running = this.state.runs()
			.on(session.runner().key())
			.stream()
			.map((run) -> new RunnerReply.RunningTask(run.task(), run.number(), "", 100, OptionalInt.empty()))
			.toList();
		session.onHeartbeatReply(new RunnerReply.Listing(this.nowMillis,
				OptionalLong.of(session.runner().key().bornMillis()), running, List.of(), true), this.nowMillis);
	}

	private void assign(TaskId task, String runner) {
		RunnerKey key = new RunnerKey(runner, 1);
		apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 1, key))));
		Run run = this.state.task(task).get().run().get();
		this.sessions.get(key).add(run, new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()), true);
	}

	private void register(RunnerRecord runner) {
		apply(BatchFixtures.register(runner));
		this.sessions.keySet().removeIf((key) -> key.id().equals(runner.key().id()));
		RunnerSession session = new RunnerSession(runner, SimulatedFleet.SETTINGS.sessions(), 1, this.nowMillis);
		this.sessions.put(runner.key(), session);
		heartbeat(session);
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(this.nowMillis, List.of(command)));
		if (command instanceof BatchCommand.SetUpkeep maintenance && this.controller != null) {
			this.controller.onMaintenanceCommitted(maintenance);
		}
		if (command instanceof BatchCommand.RemoveRunner removed) {
			this.sessions.remove(removed.runner());
		}
	}

}
