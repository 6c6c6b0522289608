package io.burdockpin.core.batch.state;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a closed data centre that a member, or a later leader, takes as open.
 */
class DataCentreClosingTests {

	private static final String DATA_CENTRE = "dc1";

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r0", "pool", 1);

	private final BatchState state = new BatchState();

	@BeforeEach
	void configure() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool")));
		apply(BatchFixtures.register(RUNNER));
	}

	@Test
	void aDataCentreIsClosedFromTheFirstOrderUntilItIsOpened() {
		Truth.assertThat(this.state.isClosed(DATA_CENTRE)).isFalse();
		Truth.assertThat(apply(10, close("first"))).isEqualTo(CommandResult.APPLIED);
		Truth.assertThat(apply(20, close("second"))).isEqualTo(CommandResult.UNCHANGED);
		Truth.assertThat(this.state.closedDataCentres().values())
			.containsExactly(new DataCentreClosing(DATA_CENTRE, 10, "first"));
		Truth.assertThat(this.state.isClosed("dc2")).isFalse();
		Truth.assertThat(apply(30, open())).isEqualTo(CommandResult.APPLIED);
		Truth.assertThat(apply(40, open())).isEqualTo(CommandResult.UNCHANGED);
		Truth.assertThat(this.state.isClosed(DATA_CENTRE)).isFalse();
	}

	/** The orders carry no number, so a late one cannot be told from a new one. */
	@Test
	void theLastOrderToArriveHolds() {
		apply(10, close("operator"));
		apply(20, open());
		apply(30, close("operator, resent"));
		Truth.assertThat(this.state.isClosed(DATA_CENTRE)).isTrue();
	}

	@Test
	void aClosingIsInTheSnapshotUntilItEnds() {
		apply(10, close("operator"));
		BatchState restored = BatchState.restore(this.state.snapshot());
		Truth.assertThat(restored.closedDataCentres()).isEqualTo(this.state.closedDataCentres());
		apply(20, open());
		Truth.assertThat(BatchState.restore(this.state.snapshot()).isClosed(DATA_CENTRE)).isFalse();
	}

	/**
	 * Guards against a plan that was made before the closing and is committed after it.
	 */
	@Test
	void anAssignmentThatIsCommittedAfterTheClosingCreatesNoRun() {
		apply(BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		apply(close("operator"));
		assign("job", 0, 1);
		Truth.assertThat(this.state.runs().runners()).isEmpty();
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		apply(open());
		assign("job", 0, 1);
		Truth.assertThat(this.state.runs().runners()).containsExactly(RUNNER.key());
	}

	/** Guards against a gang of which only the members in open data centres start. */
	@Test
	void aGangWithAMemberInAClosedDataCentreIsNotAssigned() {
		RunnerRecord elsewhere = inDataCentre(BatchFixtures.runner("r1", "pool", 1), "dc2");
		apply(BatchFixtures.register(elsewhere));
		apply(BatchFixtures.submit("gang", "queue-pool", "team", BatchFixtures.job(BatchFixtures.gang(2))));
		apply(close("operator"));
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId("gang", 0, 0, 0), 1, elsewhere.key()),
						new BatchCommand.Assignment(new TaskId("gang", 0, 0, 1), 1, RUNNER.key()))));
		Truth.assertThat(this.state.runs().runners()).isEmpty();
	}

	@Test
	void aClosingEndsNoRunThatIsInProgress() {
		apply(BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		assign("job", 0, 1);
		apply(close("operator"));
		Truth.assertThat(this.state.runs().runners()).containsExactly(RUNNER.key());
	}

	private static RunnerRecord inDataCentre(RunnerRecord runner, String dataCentre) {
		return new RunnerRecord(runner.key(), runner.host(), runner.pool(), runner.address(), dataCentre, runner.rack(),
				runner.capacity(), runner.labels(), runner.draining());
	}

	private void assign(String job, int index, int run) {
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId(job, 0, 0, index), run, RUNNER.key()))));
	}

	private static BatchCommand close(String origin) {
		return new BatchCommand.CloseDataCentre(DATA_CENTRE, origin);
	}

	private static BatchCommand open() {
		return new BatchCommand.OpenDataCentre(DATA_CENTRE, "operator");
	}

	private void apply(BatchCommand command) {
		apply(0, command);
	}

	private CommandResult apply(long atMillis, BatchCommand command) {
		return this.state.apply(new CommandGroup(atMillis, List.of(command))).get(0);
	}

}
