package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a host of a closed data centre that is moved by an earlier decision. */
class ClosedHostMoveTests {

	private static final String HOST = "host-spare";

	private final BatchState state = new BatchState();

	private FleetLeader leader;

	@BeforeEach
	void elect() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")),
				new BatchCommand.SetMove(HOST, "pool", MovePhase.ORDERED));
		this.leader = new FleetLeader(this.state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, 1_000);
		this.leader.onHostList(List.of(new HostEntry(HOST, "spare", true, Optional.of("dc1"))));
		this.leader.decide(5_000, 5_000);
	}

	@Test
	void aMoveIsSentWhileTheDataCentreIsOpen() {
		close("dc2");
		Truth.assertThat(this.leader.dueHostOrders(5_010)).containsExactly(new HostOrder.Move(2, HOST, "pool"));
	}

	/** The order waits for its turn when the data centre is closed. */
	@Test
	void aMoveThatWaitsToBeSentIsWithdrawn() {
		close("dc1");
		Truth.assertThat(this.leader.dueHostOrders(5_010)).isEmpty();
		this.leader.decide(6_000, 6_000);
		Truth.assertThat(this.leader.dueHostOrders(6_010)).isEmpty();
		Truth.assertThat(this.leader.drainProposals()).contains(new BatchCommand.SetMove(HOST, "pool", MovePhase.OVER));
	}

	private void close(String dataCentre) {
		apply(new BatchCommand.CloseDataCentre(dataCentre, "operator"));
		this.leader.onApplied(new BatchCommand.CloseDataCentre(dataCentre, "operator"), 5_005);
	}

	private void apply(BatchCommand... commands) {
		this.state.apply(new CommandGroup(0, List.of(commands)));
	}

}
