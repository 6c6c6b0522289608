package io.burdockpin.testbench.program;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in that announces itself to two entry hosts in one epoch. */
class EntryRotationTests {

	private static final EndPoint FIRST = new EndPoint("127.1.0.1", 8080);

	private static final EndPoint SECOND = new EndPoint("127.1.0.2", 8080);

	private final EntryRotation rotation = new EntryRotation(List.of(FIRST, SECOND), 3000, 1000);

	@Test
	void anEntryHostThatAnswersIsKept() {
		this.rotation.onAnswer(3900);
		this.rotation.onTick(6900);
		Truth.assertThat(this.rotation.current()).isEqualTo(FIRST);
		Truth.assertThat(this.rotation.epoch()).isEqualTo(1000);
	}

	@Test
	void aSilentEntryHostIsLeftWithAHigherEpoch() {
		this.rotation.onTick(4001);
		Truth.assertThat(this.rotation.current()).isEqualTo(SECOND);
		Truth.assertThat(this.rotation.epoch()).isEqualTo(1001);
	}

	@Test
	void theNamedEntryHostIsUsedWithAHigherEpoch() {
		EndPoint third = new EndPoint("127.1.0.3", 8080);
		this.rotation.onAttachTo(third, 2000);
		Truth.assertThat(this.rotation.current()).isEqualTo(third);
		Truth.assertThat(this.rotation.epoch()).isEqualTo(1001);
	}

	@Test
	void beingToldToStayDoesNotRaiseTheEpoch() {
		this.rotation.onAttachTo(FIRST, 2000);
		Truth.assertThat(this.rotation.epoch()).isEqualTo(1000);
	}

}
