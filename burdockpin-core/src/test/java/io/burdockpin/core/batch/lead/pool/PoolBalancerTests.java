package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.SimulatedFleet;
import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Load: demand peaks that move from pool to pool, each above the capacity of its pool.
 */
class PoolBalancerTests {

	private static final BalanceSettings SETTINGS = new BalanceSettings(0, 1_700, 2_000, 1_000, 200, 1_000);

	private final BatchState state = new BatchState();

	private final Map<RunnerKey, RunnerSession> sessions = new HashMap<>();

	private final Set<String> closedHosts = new HashSet<>();

	private PoolBalancer balancer;

	private long nowMillis = 100_000;

	@BeforeEach
	void configure() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "hot", "cold")));
		this.balancer = new PoolBalancer(this.state, SETTINGS, new HostOrderHistory(0), 1, this.nowMillis,
				new DurationEstimator(), this.closedHosts::contains);
		for (int number = 0; number < 4; number++) {
			addRunner("hot" + number, "hot");
			addRunner("cold" + number, "cold");
		}
	}

	@Test
	void nothingMovesWhileTheDemandFits() {
		submit("small", 4);
		Truth.assertThat(tick()).isEmpty();
	}

	@Test
	void spareHostsAreTakenFirst() {
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("large", 20);
		List<BatchCommand.SetMove> moves = tick();
		Truth.assertThat(moves.get(0)).isEqualTo(new BatchCommand.SetMove("host-s1", "hot", MovePhase.ORDERED));
	}

	/**
	 * Guards against a host that is moved into use in a closed data centre, whether it
	 * was closed before or after the host list was read.
	 */
	@Test
	void spareHostsInAClosedDataCentreAreNotTaken() {
		this.closedHosts.add("host-s1");
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true),
				new HostEntry("host-s2", "spare", true), new HostEntry("host-s3", "spare", true)));
		this.closedHosts.add("host-s2");
		submit("large", 40);
		List<String> hosts = tick().stream().map(BatchCommand.SetMove::host).toList();
		Truth.assertThat(hosts).contains("host-s3");
		Truth.assertThat(hosts).containsNoneOf("host-s1", "host-s2");
	}

	/** Guards against the order of a move that was committed before the closing. */
	@Test
	void aMoveThatWasNotSentBeforeTheClosingIsWithdrawn() {
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("large", 20);
		BatchCommand.SetMove move = tick().get(0);
		this.closedHosts.add("host-s1");
		apply(move);
		this.balancer.onMoveCommitted("host-s1");
		this.nowMillis += 200;
		Truth.assertThat(tick()).contains(new BatchCommand.SetMove("host-s1", "hot", MovePhase.OVER));
		Truth.assertThat(this.balancer.drainOrders().stream().map(HostOrder::host).toList()).doesNotContain("host-s1");
	}

	@Test
	void idleHostsOfAPoolWithoutDemandAreTakenNext() {
		submit("large", 24);
		List<BatchCommand.SetMove> moves = tick();
		Truth.assertThat(moves).hasSize(2);
		Truth
			.assertThat(
					moves.stream().allMatch((move) -> move.host().startsWith("host-cold") && move.pool().equals("hot")))
			.isTrue();
	}

	/** Guards against a task that waits although the total free capacity suffices. */
	@Test
	void aPoolThatLacksCapacityForATaskGetsOneHostAtATime() {
		this.balancer
			.onHostList(List.of(new HostEntry("host-s1", "spare", true), new HostEntry("host-s2", "spare", true)));
		this.balancer.onPlan(new Plan(List.of(), Set.of("hot"), Set.of(), List.of()));
		Truth.assertThat(tick()).hasSize(1);
	}

	/** Guards against a move that ends the tasks on its host. */
	@Test
	void aHostWithATaskIsNotMoved() {
		submit("large", 24);
		apply(BatchFixtures.submit("other", "queue-cold", "team", BatchFixtures.job(BatchFixtures.step(4))));
		for (int number = 0; number < 4; number++) {
			apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(new TaskId("other", 0, 0, number), 1,
					new RunnerKey("cold" + number, 1)))));
		}
		Truth.assertThat(tick()).isEmpty();
	}

	@Test
	void aMoveIsCommittedBeforeItIsOrderedAndOrderedOnce() {
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("large", 20);
		tick().forEach(this::apply);
		this.nowMillis += 200;
		tick();
		Truth.assertThat(this.balancer.drainOrders()).contains(new HostOrder.Move(1, "host-s1", "hot"));
		this.nowMillis += 200;
		tick();
		Truth.assertThat(this.balancer.drainOrders()).isEmpty();
	}

	@Test
	void idleHostsReturnToTheSparePoolExceptTheLastTwo() {
		List<BatchCommand.SetMove> moves = runFortyTicks();
		moves.forEach((move) -> Truth.assertThat(move.pool()).isEqualTo("spare"));
		List<String> moved = moves.stream().map(BatchCommand.SetMove::host).toList();
		Truth.assertThat(moved).hasSize(4);
	}

	/** Guards against a host that arrives for a task and leaves before the task stops. */
	@Test
	void aPoolKeepsAnIdleHostForTasksThatMaintenanceIsAboutToStop() {
		this.balancer.onPlan(new Plan(List.of(), Set.of(), Set.of(new RunnerKey("hot0", 1)), List.of()));
		List<String> moved = runFortyTicks().stream().map(BatchCommand.SetMove::host).toList();
		Truth.assertThat(moved).hasSize(4);
		Truth.assertThat(moved).doesNotContain("host-hot0");
	}

	/**
	 * Guards against a move that ends the tasks on its host. Occurs when an outdated list
	 * shows a host as spare that has been powered on since.
	 */
	@Test
	void aHostWithARunnerIsNotTreatedAsSpare() {
		this.balancer.onHostList(List.of(new HostEntry("host-cold1", "spare", true)));
		for (int number = 0; number < 4; number++) {
			int host = number;
			apply(BatchFixtures.submit("cold" + number, "queue-cold", "team",
					BatchFixtures.job(BatchFixtures.step(1))));
			apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(new TaskId("cold" + number, 0, 0, 0),
					1, new RunnerKey("cold" + host, 1)))));
		}
		submit("large", 40);
		Truth.assertThat(tick()).isEmpty();
	}

	/** Guards against a pool that stays empty after it has lost all its hosts. */
	@Test
	void aPoolThatHasLostAllItsHostsGetsHostsForItsJobs() {
		this.sessions.keySet().removeIf((key) -> key.id().startsWith("hot"));
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("job", 2);
		Truth.assertThat(tick()).contains(new BatchCommand.SetMove("host-s1", "hot", MovePhase.ORDERED));
	}

	/**
	 * Guards against hosts that count as moving long after they were powered off. Occurs
	 * when the peak of one queue ends and that of another one begins.
	 */
	@Test
	void aHostThatWasJustPoweredOffIsUsedForTheNextPeak() {
		while (this.state.moves().isEmpty()) {
			tick().forEach(this::apply);
			this.nowMillis += 200;
		}
		String host = this.state.moves().keySet().iterator().next();
		tick();
		this.balancer.drainOrders()
			.forEach((order) -> this.balancer.onReply((HostOrder.Move) order, HostReply.DONE, this.nowMillis));
		this.nowMillis += SimulatedFleet.SETTINGS.balance().lookAheadMillis() + 200;
		submit("large", 40);
		List<BatchCommand.SetMove> moves = new ArrayList<>();
		for (int round = 0; round < 4; round++) {
			tick().forEach((move) -> {
				apply(move);
				moves.add(move);
			});
			this.nowMillis += 200;
		}
		Truth.assertThat(moves).contains(new BatchCommand.SetMove(host, "hot", MovePhase.ORDERED));
	}

	/**
	 * Guards against a move that is closed although it may be carried out. Occurs when an
	 * earlier leader sent its order just before the election.
	 */
	@Test
	void aMoveThatAnEarlierLeaderMayHaveSentIsCancelledOnlyAfterTheHandOverPause() {
		BalanceSettings settings = new BalanceSettings(4_000, 1_700, 2_000, 1_000, 200, 1_000);
		this.balancer = new PoolBalancer(this.state, settings, new HostOrderHistory(0), 2, this.nowMillis,
				new DurationEstimator(), this.closedHosts::contains);
		submit("small", 1);
		assign("small", 0, "hot0");
		apply(new BatchCommand.SetMove("host-hot0", "cold", MovePhase.ORDERED));
		this.nowMillis += 3_900;
		Truth.assertThat(tick()).isEmpty();
		this.nowMillis += 200;
		Truth.assertThat(tick()).containsExactly(new BatchCommand.SetMove("host-hot0", "cold", MovePhase.OVER));
	}

	/**
	 * Guards against the removal of a runner whose tasks are running. Occurs when
	 * decisions start again in a term and the platform answers an order of an earlier
	 * move of the host after the next move was committed.
	 */
	@Test
	void theReplyToAnOrderOfAnEarlierMoveRemovesNoRunner() {
		apply(new BatchCommand.SetMove("host-hot0", "cold", MovePhase.ORDERED));
		this.balancer.onReply(new HostOrder.Move(1, "host-hot0", "hot"), HostReply.DONE, this.nowMillis);
		Truth.assertThat(this.balancer.drainProposals())
			.doesNotContain(new BatchCommand.RemoveRunner(new RunnerKey("hot0", 1)));
		this.balancer.onReply(new HostOrder.Move(1, "host-hot0", "cold"), HostReply.DONE, this.nowMillis);
		Truth.assertThat(this.balancer.drainProposals())
			.contains(new BatchCommand.RemoveRunner(new RunnerKey("hot0", 1)));
	}

	/**
	 * Guards against a move that ends the tasks on its host. Occurs when a task is
	 * assigned just before the move is committed and the leader has moved the host
	 * before.
	 */
	@Test
	void aMoveIsCancelledIfTheHostGotATaskEvenIfItWasMovedBefore() {
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("large", 16);
		tick().forEach(this::apply);
		this.nowMillis += 200;
		tick();
		this.balancer.drainOrders()
			.forEach((order) -> this.balancer.onReply((HostOrder.Move) order, HostReply.DONE, this.nowMillis));
		this.balancer.drainProposals().forEach(this::apply);
		addRunner("s1", "hot");
		this.nowMillis += 200;
		tick().forEach(this::apply);
		Truth.assertThat(this.state.moves()).isEmpty();
		apply(new BatchCommand.CancelJob("large"));
		submit("busy", 4);
		for (int number = 0; number < 4; number++) {
			assign("busy", number, "hot" + number);
		}
		List<BatchCommand.SetMove> moves = List.of();
		for (int round = 0; round < 40 && moves.isEmpty(); round++) {
			this.nowMillis += 200;
			moves = tick().stream().filter((move) -> move.host().equals("host-s1")).toList();
		}
		Truth.assertThat(moves).hasSize(1);
		submit("next", 1);
		assign("next", 0, "s1");
		moves.forEach(this::apply);
		this.nowMillis += 600;
		Truth.assertThat(tick()).contains(new BatchCommand.SetMove("host-s1", "spare", MovePhase.OVER));
		Truth.assertThat(this.balancer.drainOrders().stream().map(HostOrder::host).toList()).doesNotContain("host-s1");
	}

	/**
	 * Guards against a long-running step that waits while its pool gets one host at a
	 * time. Occurs with serving tasks that need a host each.
	 */
	@Test
	void aPoolGetsAllHostsOfALongRunningStepAtOnce() {
		this.balancer.onHostList(
				IntStream.range(0, 8).mapToObj((number) -> new HostEntry("host-s" + number, "spare", true)).toList());
		apply(BatchFixtures.submit("serving", "queue-hot", "team",
				BatchFixtures.job(BatchFixtures.longRunning(8, 1, 1))));
		Truth.assertThat(tick().size()).isAtLeast(4);
	}

	/**
	 * Guards against a peak whose first jobs find only hosts filled by long-running
	 * tasks.
	 */
	@Test
	void theCapacityUsedByLongRunningTasksDoesNotCountAsReserve() {
		this.balancer.onHostList(
				IntStream.range(0, 30).mapToObj((number) -> new HostEntry("host-s" + number, "spare", true)).toList());
		apply(BatchFixtures.submit("serving", "queue-hot", "team",
				BatchFixtures.job(BatchFixtures.longRunning(16, 0, 1))));
		for (int number = 0; number < 16; number++) {
			assign("serving", number, "hot" + number / 4);
		}
		Truth.assertThat(tick().stream().map(BatchCommand.SetMove::pool).toList()).contains("hot");
	}

	/**
	 * Guards against hosts that are taken for tasks that end before the hosts arrive,
	 * while the next queue needs them.
	 */
	@Test
	void tasksThatEndBeforeAHostArrivesRequireNoHosts() {
		this.balancer.onHostList(List.of(new HostEntry("host-s1", "spare", true)));
		submit("running", 16);
		for (int number = 0; number < 16; number++) {
			assign("running", number, "hot" + number / 4);
		}
		Truth.assertThat(tick()).isEmpty();
	}

	/**
	 * Guards against late jobs that hold hosts needed by jobs that can still meet their
	 * objective. Occurs when the peak of a queue begins while another queue has a
	 * backlog.
	 */
	@Test
	void someHostsOfAPoolWithLateJobsAreCordonedForAPoolThatCanMeetItsObjectives() {
		apply(BatchFixtures.submit("late", "queue-cold", "team", BatchFixtures.job(BatchFixtures.step(16))));
		for (int number = 0; number < 12; number++) {
			assign("late", number, "cold" + number / 3);
		}
		this.nowMillis += 20_000;
		submit("large", 24);
		Truth.assertThat(tick()).isEmpty();
		long cordoned = IntStream.range(0, 4)
			.filter((number) -> this.balancer.isCordoned("host-cold" + number))
			.count();
		Truth.assertThat(cordoned).isEqualTo(1);
	}

	/** Guards against hosts that are idle although no other pool needs them. */
	@Test
	void lateJobsKeepTheirHostsWhileNoOtherPoolIsShort() {
		apply(BatchFixtures.submit("late", "queue-cold", "team", BatchFixtures.job(BatchFixtures.step(16))));
		for (int number = 0; number < 12; number++) {
			assign("late", number, "cold" + number / 3);
		}
		this.nowMillis += 20_000;
		submit("small", 4);
		tick();
		Truth.assertThat(IntStream.range(0, 4).anyMatch((number) -> this.balancer.isCordoned("host-cold" + number)))
			.isFalse();
	}

	/**
	 * Guards against a pool that loses all its hosts with one rack although it could have
	 * kept hosts of several racks.
	 */
	@Test
	void aPoolReleasesHostsOfTheRackWithMostOfItsHosts() {
		this.sessions.clear();
		for (int number = 0; number < 4; number++) {
			addRunner("near" + number, "hot", "rack-a");
		}
		addRunner("far0", "hot", "rack-b");
		addRunner("far1", "hot", "rack-c");
		List<String> moved = runFortyTicks().stream().map(BatchCommand.SetMove::host).toList();
		Truth.assertThat(moved).hasSize(4);
		long racks = Stream.of("near0", "near1", "near2", "near3", "far0", "far1")
			.filter((id) -> !moved.contains("host-" + id))
			.map((id) -> id.startsWith("near") ? "near" : id)
			.distinct()
			.count();
		Truth.assertThat(racks).isEqualTo(2);
	}

	private void assign(String job, int task, String runner) {
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId(job, 0, 0, task), 1, new RunnerKey(runner, 1)))));
	}

	/** Applies each move in the tick that proposes it. */
	private List<BatchCommand.SetMove> runFortyTicks() {
		List<BatchCommand.SetMove> moves = new ArrayList<>();
		for (int round = 0; round < 40; round++) {
			tick().forEach((move) -> {
				apply(move);
				moves.add(move);
			});
			this.nowMillis += 200;
		}
		return moves;
	}

	private List<BatchCommand.SetMove> tick() {
		this.sessions.values()
			.forEach((session) -> session.onHeartbeatReply(
					new RunnerReply.Listing(1_000, OptionalLong.of(1), List.of(), List.of(), true), this.nowMillis));
		this.balancer.tick(this.sessions, (host) -> false, 0, this.nowMillis, this.nowMillis);
		return this.balancer.drainProposals()
			.stream()
			.filter(BatchCommand.SetMove.class::isInstance)
			.map(BatchCommand.SetMove.class::cast)
			.toList();
	}

	private void submit(String id, int tasks) {
		apply(BatchFixtures.submit(id, "queue-hot", "team", BatchFixtures.job(BatchFixtures.step(tasks))));
	}

	private void addRunner(String id, String pool) {
		addRunner(id, pool, "rack-" + id);
	}

	private void addRunner(String id, String pool, String rack) {
		RunnerRecord known = BatchFixtures.runner(id, pool, 1);
		RunnerRecord runner = new RunnerRecord(known.key(), known.host(), pool, known.address(), known.dataCentre(),
				Optional.of(rack), known.capacity(), known.labels(), false);
		apply(BatchFixtures.register(runner));
		RunnerSession session = new RunnerSession(runner, SimulatedFleet.SETTINGS.sessions(), 1, this.nowMillis);
		this.sessions.put(runner.key(), session);
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(this.nowMillis, List.of(command)));
		if (command instanceof BatchCommand.SetMove move && this.balancer != null) {
			this.balancer.onMoveCommitted(move.host());
		}
	}

}
