package io.burdockpin.core.routing;

import java.util.Map;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.RunnerName;
import org.junit.jupiter.api.Test;

/** Guards the connection limit of a runner and the time for which connections idle. */
class IdleConnectionsTests {

	private final RunnerAttachment life = new RunnerAttachment(new RunnerName("runner-1"), "127.0.0.1:1", false, 1);

	private final IdleConnections<String> idle = new IdleConnections<>(1000);

	@Test
	void theConnectionThatWasUsedLastIsTakenFirst() {
		this.idle.updateLimits(Map.of(this.life, 2));
		this.idle.keep(this.life, "a", 0);
		this.idle.keep(this.life, "b", 10);
		Truth.assertThat(this.idle.take(this.life, 20)).isEqualTo(Optional.of("b"));
		Truth.assertThat(this.idle.take(this.life, 20)).isEqualTo(Optional.of("a"));
		Truth.assertThat(this.idle.take(this.life, 20)).isEmpty();
	}

	@Test
	void aConnectionAboveTheLimitIsNotKept() {
		this.idle.updateLimits(Map.of(this.life, 1));
		Truth.assertThat(this.idle.keep(this.life, "a", 0)).isTrue();
		Truth.assertThat(this.idle.keep(this.life, "b", 0)).isFalse();
	}

	@Test
	void aConnectionToARunnerThatIsNotNamedIsNotKept() {
		Truth.assertThat(this.idle.keep(this.life, "a", 0)).isFalse();
	}

	@Test
	void aLowerLimitClosesTheOldestConnections() {
		this.idle.updateLimits(Map.of(this.life, 3));
		this.idle.keep(this.life, "a", 0);
		this.idle.keep(this.life, "b", 1);
		this.idle.keep(this.life, "c", 2);
		Truth.assertThat(this.idle.updateLimits(Map.of(this.life, 1))).containsExactly("a", "b").inOrder();
		Truth.assertThat(this.idle.updateLimits(Map.of())).containsExactly("c");
	}

	@Test
	void aConnectionExpiresAfterTheIdleTimeAndIsNotTakenThen() {
		this.idle.updateLimits(Map.of(this.life, 2));
		this.idle.keep(this.life, "a", 0);
		Truth.assertThat(this.idle.expire(999)).isEmpty();
		Truth.assertThat(this.idle.take(this.life, 1000)).isEmpty();
		Truth.assertThat(this.idle.expire(1000)).containsExactly("a");
	}

	@Test
	void aConnectionThatHasClosedIsForgotten() {
		this.idle.updateLimits(Map.of(this.life, 2));
		this.idle.keep(this.life, "a", 0);
		Truth.assertThat(this.idle.remove("a")).isTrue();
		Truth.assertThat(this.idle.remove("a")).isFalse();
		Truth.assertThat(this.idle.take(this.life, 1)).isEmpty();
	}

}
