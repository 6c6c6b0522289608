package io.burdockpin.testbench.runner;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in runner that hides overload or a double run. */
class SlotTableTests {

	private final SlotTable table = new SlotTable(2, 1);

	@Test
	void aRequestBeyondTheSlotsIsRefusedAndCounted() {
		this.table.start("1-a");
		this.table.start("1-b");
		Truth.assertThat(this.table.start("1-c")).isFalse();
		Truth.assertThat(this.table.counts().slotViolations()).isEqualTo(1);
		this.table.end();
		Truth.assertThat(this.table.start("1-c")).isTrue();
	}

	@Test
	void aConnectionBeyondTheLimitIsRefusedAndCounted() {
		Truth.assertThat(this.table.connect()).isTrue();
		Truth.assertThat(this.table.connect()).isFalse();
		Truth.assertThat(this.table.counts().connectionViolations()).isEqualTo(1);
	}

	@Test
	void aSecondStartOfARequestIsCountedAsADoubleRun() {
		this.table.start("1-a");
		this.table.end();
		this.table.start("1-a");
		Truth.assertThat(this.table.counts().doubleRuns()).isEqualTo(1);
	}

}
