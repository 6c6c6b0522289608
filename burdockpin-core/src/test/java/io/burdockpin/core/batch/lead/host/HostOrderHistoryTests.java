package io.burdockpin.core.batch.lead.host;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.MaintenancePhase;
import io.burdockpin.core.batch.state.MovePhase;
import org.junit.jupiter.api.Test;

class HostOrderHistoryTests {

	private final HostOrderHistory history = new HostOrderHistory(1_000);

	@Test
	void movesAndMaintenanceOfAHostShareOneHistory() {
		this.history.onApplied(new BatchCommand.SetMove("host", "pool", MovePhase.ORDERED), 3, 2_000);
		this.history.onApplied(new BatchCommand.SetUpkeep(1, "host", MaintenancePhase.ORDERED), 4, 2_500);
		Truth.assertThat(this.history.lastChange("host")).hasValue(new HostOrderHistory.Change(4, 2_500));
		Truth.assertThat(this.history.quietMillis("host", 2_600)).isEqualTo(100);
	}

	@Test
	void aHostWithoutARecordedChangeIsQuietOnlySinceTheStartOfTheMember() {
		Truth.assertThat(this.history.quietMillis("host", 1_700)).isEqualTo(700);
	}

	@Test
	void aSnapshotHidesEarlierChanges() {
		this.history.onApplied(new BatchCommand.SetMove("host", "pool", MovePhase.ORDERED), 3, 2_000);
		this.history.onRestored(5_000);
		Truth.assertThat(this.history.lastChange("host")).isEmpty();
		Truth.assertThat(this.history.quietMillis("host", 5_200)).isEqualTo(200);
	}

}
