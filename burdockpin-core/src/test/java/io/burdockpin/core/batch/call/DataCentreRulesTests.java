package io.burdockpin.core.batch.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Guards against orders about data centres that are refused or accepted by mistake. */
class DataCentreRulesTests {

	private final BatchState state = new BatchState();

	private final DataCentreRules rules = new DataCentreRules(Set.of("configured"));

	@Test
	void theDataCentresOfTheSettingsAndOfRegisteredRunnersAreKnown() {
		Truth.assertThat(isAccepted("configured")).isTrue();
		Truth.assertThat(isAccepted("dc1")).isFalse();
		apply(BatchFixtures.register(BatchFixtures.runner("r0", "pool", 1)));
		Truth.assertThat(isAccepted("dc1")).isTrue();
		for (String unknown : List.of("", "Configured", "configured/", "dc")) {
			Truth.assertThat(isAccepted(unknown)).isFalse();
		}
	}

	/** Guards against a data centre that stays closed because it lost all its runners. */
	@Test
	void aClosedDataCentreWithoutRunnersCanBeOpened() {
		apply(new BatchCommand.CloseDataCentre("dc1", "operator"));
		Truth.assertThat(this.rules.decide(new FleetCall.OpenDataCentre("dc1", "operator"), this.state))
			.isEqualTo(new CallDecision.Commit(new BatchCommand.OpenDataCentre("dc1", "operator")));
	}

	/** The operator decides; a warning is logged by the scheduler. */
	@Test
	void theLastOpenDataCentreCanBeClosed() {
		apply(BatchFixtures.register(BatchFixtures.runner("r0", "pool", 1)));
		apply(new BatchCommand.CloseDataCentre("configured", "operator"));
		Truth.assertThat(isAccepted("dc1")).isTrue();
	}

	@Test
	void theStatusCountsRunnersAndTheTasksStillThere() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool")));
		apply(BatchFixtures.register(BatchFixtures.runner("r0", "pool", 1)));
		apply(BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(new TaskId("job", 0, 0, 0), 1,
				BatchFixtures.runner("r0", "pool", 1).key()))));
		apply(new BatchCommand.CloseDataCentre("dc1", "operator"));
		Truth.assertThat(this.rules.status(this.state).dataCentres())
			.containsExactly(new FleetReply.DataCentreStatus("configured", Optional.empty(), 0, 0),
					new FleetReply.DataCentreStatus("dc1", Optional.of(new DataCentreClosing("dc1", 0, "operator")), 1,
							1))
			.inOrder();
	}

	private boolean isAccepted(String dataCentre) {
		return this.rules.decide(new FleetCall.CloseDataCentre(dataCentre, "operator"),
				this.state) instanceof CallDecision.Commit;
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(0, List.of(command)));
	}

}
