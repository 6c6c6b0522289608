package io.burdockpin.control.replica;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.consensus.ConsensusMessage.FeedConfirmation;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.HolderRecord;
import org.junit.jupiter.api.Test;

/** Guards against a reply that omits a data centre without confirmation. */
class ConfirmationTableTests {

	private static final DataCentre FIRST = new DataCentre("dc1");

	private static final DataCentre SECOND = new DataCentre("dc2");

	private final ConfirmationTable table = new ConfirmationTable();

	@Test
	void aRegisteredHostThatSubscribesNowhereIsUnconfirmed() {
		List<HolderRecord> holders = List.of(new HolderRecord(new Holder(new HostName("e1"), 1), FIRST, false),
				new HolderRecord(new Holder(new HostName("e2"), 1), SECOND, true));
		Truth.assertThat(this.table.unconfirmed(5, holders)).isEqualTo(List.of(FIRST));
	}

	@Test
	void aHostThatSubscribesToAnUnreachableMemberStaysUnconfirmed() {
		this.table.report(new HostName("c1"), List.of(confirmation("e1", FIRST, 9)));
		this.table.report(new HostName("c2"), List.of(confirmation("e2", SECOND, 4)));
		Truth.assertThat(this.table.unconfirmed(9, List.of())).isEqualTo(List.of(SECOND));
	}

	@Test
	void aHostThatChangedItsMemberCountsWithItsHighestIndex() {
		this.table.report(new HostName("c1"), List.of(confirmation("e1", FIRST, 4)));
		this.table.report(new HostName("c2"), List.of(confirmation("e1", FIRST, 9)));
		Truth.assertThat(this.table.unconfirmed(9, List.of())).isEmpty();
	}

	private static FeedConfirmation confirmation(String host, DataCentre dataCentre, long index) {
		return new FeedConfirmation(new HostName(host), dataCentre, index);
	}

}
