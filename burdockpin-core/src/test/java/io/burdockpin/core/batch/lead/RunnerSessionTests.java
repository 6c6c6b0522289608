package io.burdockpin.core.batch.lead;

import java.util.Optional;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Guards against runs that are given up although only the leader was at fault. */
class RunnerSessionTests {

	private static final SessionSettings SETTINGS = new SessionSettings(6_000, 1_000, 700, 300, 150, 2_200);

	private static final RunnerRecord RUNNER = new RunnerRecord(new RunnerKey("runner", 5), Optional.of("host"), "pool",
			"10.0.0.2:1", "dc1", Optional.empty(), Resources.NONE, Set.of(), false);

	private static final long AFTER_ALL_LEASES_MILLIS = 60_000;

	private final RunnerSession session = new RunnerSession(RUNNER, SETTINGS, 1, 0, 0);

	@Test
	void aHeartbeatThatWasNotSentIsNoSignThatTheRunnerIsGone() {
		this.session.nextHeartbeat(0);
		this.session.onHeartbeatReply(RunnerReply.NoAnswer.NOT_SENT, 10);
		Truth.assertThat(this.session.haveRunsEnded(AFTER_ALL_LEASES_MILLIS)).isFalse();
		this.session.nextHeartbeat(1_000);
		this.session.onHeartbeatReply(RunnerReply.NoAnswer.UNKNOWN, 1_700);
		Truth.assertThat(this.session.haveRunsEnded(AFTER_ALL_LEASES_MILLIS)).isTrue();
	}

}
