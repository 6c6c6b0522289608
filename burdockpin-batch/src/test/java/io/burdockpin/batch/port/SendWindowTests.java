package io.burdockpin.batch.port;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that a leader sends after a pause so long that another leader has
 * been elected.
 */
class SendWindowTests {

	private final AtomicLong steadyMillis = new AtomicLong(1_000);

	private final AtomicLong wallMillis = new AtomicLong(500_000);

	private final SendWindow window = SendWindow.open(() -> Instant.ofEpochMilli(this.steadyMillis.get()),
			() -> Instant.ofEpochMilli(this.wallMillis.get()), 400);

	@Test
	void itIsOpenUntilItsEnd() {
		this.steadyMillis.addAndGet(399);
		this.wallMillis.addAndGet(399);
		Truth.assertThat(this.window.maySend()).isTrue();
	}

	@Test
	void itIsClosedAfterAPauseOfTheProcess() {
		this.steadyMillis.addAndGet(5_000);
		Truth.assertThat(this.window.maySend()).isFalse();
	}

	@Test
	void itIsClosedAfterASuspensionOfTheHost() {
		this.wallMillis.addAndGet(5_000);
		Truth.assertThat(this.window.maySend()).isFalse();
	}

	/** Guards against a suspension that a step of the wall clock hides. */
	@Test
	void itIsClosedAfterTheWallClockWasSetBackBeyondItsStart() {
		this.wallMillis.addAndGet(1_500 - 2_000);
		Truth.assertThat(this.window.maySend()).isFalse();
	}

}
