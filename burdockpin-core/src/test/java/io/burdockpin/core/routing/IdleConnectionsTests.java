package io.burdockpin.core.routing;

import java.util.Map;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.RunnerName;
import org.junit.jupiter.api.Test;

/** Guards the connection limits of runners and the idle time of connections. */
class IdleConnectionsTests {

	private final RunnerAttachment attachment = new RunnerAttachment(new RunnerName("runner-1"), "127.0.0.1:1", false,
			1);

	private final IdleConnections<String> idle = new IdleConnections<>(1000);

	@Test
	void theMostRecentlyUsedConnectionIsTakenFirst() {
		this.idle.updateLimits(Map.of(this.attachment, 2));
		this.idle.keep(this.attachment, "a", 0);
		this.idle.keep(this.attachment, "b", 10);
		Truth.assertThat(this.idle.take(this.attachment, 20)).isEqualTo(Optional.of("b"));
		Truth.assertThat(this.idle.take(this.attachment, 20)).isEqualTo(Optional.of("a"));
		Truth.assertThat(this.idle.take(this.attachment, 20)).isEmpty();
	}

	@Test
	void aConnectionAboveTheLimitIsNotKept() {
		this.idle.updateLimits(Map.of(this.attachment, 1));
		Truth.assertThat(this.idle.keep(this.attachment, "a", 0)).isTrue();
		Truth.assertThat(this.idle.keep(this.attachment, "b", 0)).isFalse();
	}

	@Test
	void aConnectionToARunnerWithoutALimitIsNotKept() {
		Truth.assertThat(this.idle.keep(this.attachment, "a", 0)).isFalse();
	}

	@Test
	void aLowerLimitClosesTheOldestConnections() {
		this.idle.updateLimits(Map.of(this.attachment, 3));
		this.idle.keep(this.attachment, "a", 0);
		this.idle.keep(this.attachment, "b", 1);
		this.idle.keep(this.attachment, "c", 2);
		Truth.assertThat(this.idle.updateLimits(Map.of(this.attachment, 1))).containsExactly("a", "b").inOrder();
		Truth.assertThat(this.idle.updateLimits(Map.of())).containsExactly("c");
	}

	@Test
	void aConnectionExpiresAfterTheIdleTimeAndIsNotTakenThen() {
		this.idle.updateLimits(Map.of(this.attachment, 2));
		this.idle.keep(this.attachment, "a", 0);
		Truth.assertThat(this.idle.expire(999)).isEmpty();
		Truth.assertThat(this.idle.take(this.attachment, 1000)).isEmpty();
		Truth.assertThat(this.idle.expire(1000)).containsExactly("a");
	}

	@Test
	void aClosedConnectionIsRemoved() {
		this.idle.updateLimits(Map.of(this.attachment, 2));
		this.idle.keep(this.attachment, "a", 0);
		Truth.assertThat(this.idle.remove("a")).isTrue();
		Truth.assertThat(this.idle.remove("a")).isFalse();
		Truth.assertThat(this.idle.take(this.attachment, 1)).isEmpty();
	}

}
