package io.burdockpin.runtime.socket;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a listener that holds more bytes than it may, or stops for ever. */
class ReceiveBudgetTests {

	private final ReceiveBudget budget = new ReceiveBudget(1_000);

	@Test
	void theLimitItselfMayBeHeld() {
		this.budget.charge(1_000);
		Truth.assertThat(this.budget.isExceeded()).isFalse();
		this.budget.charge(1);
		Truth.assertThat(this.budget.isExceeded()).isTrue();
	}

	@Test
	void bytesOfDroppedConnectionsDropNoFurtherOnes() {
		this.budget.charge(1_200);
		this.budget.drop(300);
		Truth.assertThat(this.budget.isExceeded()).isFalse();
		Truth.assertThat(this.budget.heldBytes()).isEqualTo(1_200);
	}

	/** Guards against owners that fall behind while more and more is received. */
	@Test
	void readingStopsWhileDroppedConnectionsHaveNotReleasedTheirBytes() {
		this.budget.charge(1_251);
		this.budget.drop(1_000);
		Truth.assertThat(this.budget.isExhausted()).isTrue();
		this.budget.creditDropped(1_000);
		Truth.assertThat(this.budget.isExhausted()).isFalse();
		Truth.assertThat(this.budget.heldBytes()).isEqualTo(251);
		Truth.assertThat(this.budget.isExceeded()).isFalse();
	}

	@Test
	void creditedBytesMayBeHeldAgain() {
		this.budget.charge(1_001);
		this.budget.credit(1_001);
		this.budget.charge(1_000);
		Truth.assertThat(this.budget.isExceeded()).isFalse();
	}

}
