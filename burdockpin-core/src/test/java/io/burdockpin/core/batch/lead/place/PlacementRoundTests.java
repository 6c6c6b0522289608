package io.burdockpin.core.batch.lead.place;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Decisions of whole rounds about waits, by the load that they handle. */
class PlacementRoundTests {

	private static final Resources HOST = new Resources(4_000, 16_000, 0);

	/** Load: one hot rack. Only as many tasks wait as the rack can take in time. */
	@Test
	void onAHotRackOnlyAsManyTasksWaitAsItCanTakeInTime() {
		PlacementModel pool = pool(1.5, 1, 5);
		pool.submit("first", pool.step(4, 1_000, 300, "hot", false));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("hot", 4L);
		pool.submit("second", pool.step(10, 1_000, 1_000, "hot", false));
		List<BatchCommand.Assignment> started = pool.round();
		Truth.assertThat(racks(pool, started)).containsExactly("cold", 6L);
		Truth.assertThat(pool.waits.drainNotices().get(0).count()).isEqualTo(4);
		pool.run(400);
		Truth.assertThat(pool.nearTasks).isEqualTo(8);
		Truth.assertThat(pool.waits.drainCounts()).isEqualTo(new WaitCounts(4, 0));
	}

	@Test
	void aWaitThatDidNotPayEndsFarFromTheData() {
		PlacementModel pool = pool(1.5, 1, 5);
		pool.submit("first", pool.step(4, 1_000, 300, "hot", false));
		for (int index = 0; index < 4; index++) {
			pool.setSlowness(new TaskId("first", 0, 0, index), 20);
		}
		pool.round();
		pool.submit("second", pool.step(1, 1_000, 1_000, "hot", false));
		pool.run(1_000);
		Truth.assertThat(pool.farTasks).isEqualTo(1);
		Truth.assertThat(pool.waits.drainCounts()).isEqualTo(new WaitCounts(0, 1));
		Truth.assertThat(pool.waits.waitingSteps()).isEmpty();
		List<WaitNotice.Kind> kinds = pool.waits.drainNotices().stream().map(WaitNotice::kind).toList();
		Truth.assertThat(kinds).containsExactly(WaitNotice.Kind.BEGUN, WaitNotice.Kind.STARTED_FAR);
	}

	/** Load: data on a rack that was lost. */
	@Test
	void nothingWaitsForARackThatWasLost() {
		PlacementModel pool = pool(3, 1, 5);
		pool.submit("first", pool.step(4, 1_000, 300, "hot", false));
		pool.round();
		pool.submit("second", pool.step(2, 1_000, 1_000, "hot", false));
		Truth.assertThat(pool.round()).isEmpty();
		pool.loseRack("hot");
		Truth.assertThat(racks(pool, pool.round())).containsExactly("cold", 2L);
	}

	/** Guards against waits for runners that get no task when they have room. */
	@Test
	void nothingWaitsForARunnerThatIsSuspectOrDueForMaintenance() {
		PlacementModel suspect = pool(3, 1, 5);
		suspect.submit("first", suspect.step(4, 1_000, 300, "hot", false));
		suspect.round();
		suspect.suspects.add(suspect.runners.get(0).key());
		suspect.submit("second", suspect.step(2, 1_000, 1_000, "hot", false));
		Truth.assertThat(suspect.round()).hasSize(2);
		PlacementModel maintained = pool(3, 1, 5);
		maintained.submit("first", maintained.step(4, 1_000, 300, "hot", false));
		maintained.round();
		maintained.apply(new BatchCommand.StartWave(
				new MaintenanceWave(1, List.of("host-hot-0"), 26_000, 1, PlacementModel.START_MILLIS)));
		maintained.submit("second", maintained.step(2, 1_000, 1_000, "hot", false));
		Truth.assertThat(maintained.round()).hasSize(2);
	}

	/** Load: everything is full. A task that waits leaves its place to others. */
	@Test
	void inAFullPoolAnotherTaskTakesThePlaceOfATaskThatWaits() {
		PlacementModel pool = pool(3, 1, 1);
		pool.submit("first", pool.step(4, 1_000, 300, "hot", false));
		pool.submit("other", pool.step(3, 1_000, 3_000, "", false));
		pool.round();
		pool.submit("near", pool.step(4, 1_000, 1_000, "hot", false));
		pool.submit("anywhere", pool.step(4, 1_000, 4_000, "", false));
		List<String> started = pool.round().stream().map((assignment) -> assignment.task().job()).toList();
		Truth.assertThat(started).containsExactly("anywhere");
	}

	/** Load: nearly empty. Nothing waits, since near places are free. */
	@Test
	void inANearlyEmptyPoolAllTasksStartNearAtOnce() {
		PlacementModel pool = pool(3, 4, 4);
		pool.submit("job", pool.step(8, 1_000, 1_000, "hot", false));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("hot", 8L);
	}

	@Test
	void aTaskThatWaitsKeepsItsPlaceFromTasksThatCanRunElsewhere() {
		PlacementModel pool = pool(3, 1, 5);
		pool.submit("first", pool.step(3, 1_000, 300, "hot", false));
		pool.round();
		pool.submit("large", pool.step(1, 2_000, 1_000, "hot", false));
		pool.submit("small", pool.step(1, 1_000, 2_000, "", false));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("cold", 1L);
		pool.run(400);
		Truth.assertThat(pool.waits.drainCounts()).isEqualTo(new WaitCounts(1, 0));
	}

	/** Load: a host on the data rack is being moved into the pool. */
	@Test
	void aTaskWaitsForAHostThatIsMovedToTheRackOfItsData() {
		PlacementModel pool = pool(3, 1, 5);
		RunnerRecord moved = pool.runners.remove(0);
		pool.apply(new BatchCommand.SetMove(moved.hostOrId(), "pool", MovePhase.ORDERED));
		pool.nowMillis += 1_000;
		pool.submit("job", pool.step(1, 1_000, 1_000, "hot", false));
		Truth.assertThat(pool.round()).isEmpty();
		pool.nowMillis += 5_000;
		Truth.assertThat(pool.round()).hasSize(1);
	}

	/** Guards against a gang that is spread because the first member took a full rack. */
	@Test
	void aGangTakesTheRackThatHoldsAllItsMembers() {
		PlacementModel pool = new PlacementModel(1, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 1, HOST);
		pool.addRack("b", 2, HOST);
		pool.submit("small", pool.step(1, 1_000, 5_000, "a", false));
		pool.round();
		pool.submit("gang", pool.step(6, 1_000, 1_000, "", true));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("b", 6L);
	}

	@Test
	void aGangWaitsForTheRackThatCanHoldItSoonIfThatPays() {
		PlacementModel pool = new PlacementModel(3, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 2, HOST);
		pool.addRack("b", 2, HOST);
		pool.submit("first", pool.step(3, 1_000, 500, "a", false));
		pool.submit("second", pool.step(3, 1_000, 4_000, "b", false));
		pool.round();
		pool.submit("gang", pool.step(8, 1_000, 1_000, "", true));
		Truth.assertThat(pool.round()).isEmpty();
		pool.run(600);
		Truth.assertThat(pool.nearTasks).isEqualTo(14);
		Truth.assertThat(pool.waits.drainCounts()).isEqualTo(new WaitCounts(8, 0));
	}

	@Test
	void aGangThatNoRackCanHoldStartsOverSeveralRacks() {
		PlacementModel pool = new PlacementModel(3, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 1, HOST);
		pool.addRack("b", 1, HOST);
		pool.submit("gang", pool.step(8, 1_000, 1_000, "", true));
		Truth.assertThat(pool.round()).hasSize(8);
	}

	/** Guards against a job that loses all its tasks with one rack. */
	@Test
	void theTasksOfAJobAreSpreadOverRacksAmongEquallyFreeRunners() {
		PlacementModel pool = new PlacementModel(1, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 2, HOST);
		pool.addRack("b", 2, HOST);
		pool.addRack("c", 2, HOST);
		pool.submit("job", pool.step(3, 4_000, 1_000, "", false));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("a", 1L, "b", 1L, "c", 1L);
	}

	/** Guards against spreading that takes capacity which a large task needs. */
	@Test
	void bestFitComesBeforeSpreading() {
		PlacementModel pool = new PlacementModel(1, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 1, HOST);
		pool.addRack("b", 1, HOST);
		pool.submit("job", pool.step(4, 1_000, 1_000, "", false));
		Truth.assertThat(racks(pool, pool.round())).containsExactly("a", 4L);
	}

	/** Guards against two leaders that each let a task wait for the whole time. */
	@Test
	void aNewLeaderCountsTheWaitFromWhenTheTaskBecameReady() {
		PlacementModel pool = pool(1.5, 1, 5);
		pool.submit("first", pool.step(4, 1_000, 300, "hot", false));
		pool.submit("earlier", pool.step(1, 1_000, 1_000, "hot", false));
		RunnerKey hot = pool.runners.get(0).key();
		pool.apply(new BatchCommand.AssignRuns(IntStream.range(0, 4)
			.mapToObj((index) -> new BatchCommand.Assignment(new TaskId("first", 0, 0, index), 1, hot))
			.toList()));
		pool.nowMillis += 600;
		pool.submit("later", pool.step(1, 1_000, 1_000, "hot", false));
		List<String> started = pool.round().stream().map((assignment) -> assignment.task().job()).toList();
		Truth.assertThat(started).containsExactly("earlier");
		Truth.assertThat(pool.waits.waitingSteps()).containsExactly(new TaskId("later", 0, 0, 0));
	}

	private static PlacementModel pool(double factor, int hotHosts, int coldHosts) {
		PlacementModel pool = new PlacementModel(factor, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("hot", hotHosts, HOST);
		pool.addRack("cold", coldHosts, HOST);
		return pool;
	}

	private static Map<String, Long> racks(PlacementModel pool, List<BatchCommand.Assignment> assignments) {
		return assignments.stream()
			.collect(Collectors.groupingBy((assignment) -> rack(pool, assignment), Collectors.counting()));
	}

	private static String rack(PlacementModel pool, BatchCommand.Assignment assignment) {
		return pool.state.runner(assignment.runner()).get().rack().get();
	}

}
