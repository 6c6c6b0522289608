package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.Run;
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

	/**
	 * Guards against a task that is started again and again. Occurs when a runner has
	 * more unacknowledged ends than it lists at a time, so that new ends are missing.
	 */
	@Test
	void aRunThatIsMissingInAnIncompleteListingIsNeitherStoppedNorReleased() {
		receiveListing(0, false);
		TaskId task = new TaskId("job", 0, 0, 0);
		this.session.add(new Run(task, 1, RUNNER.key(), "team", Resources.NONE, Resources.NONE, false),
				new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()), false);
		RunnerOrder start = this.session.nextOrder(20).get();
		this.session.onOrderReply(start, new RunnerReply.Accepted(30), 30);
		receiveListing(500, false);
		Truth.assertThat(this.session.nextOrder(2_000)).isEmpty();
		receiveListing(2_000, true);
		Truth.assertThat(this.session.nextOrder(2_600)).hasValue(new RunnerOrder.Stop(1, task, 1));
		this.session.onOrderReply(new RunnerOrder.Stop(1, task, 1), new RunnerReply.Accepted(2_610), 2_610);
		receiveListing(3_000, false);
		Truth.assertThat(this.session.drainReleases()).isEmpty();
		receiveListing(3_500, true);
		Truth.assertThat(this.session.drainReleases())
			.containsExactly(
					new RunRelease(new BatchCommand.Release(task, 1, ""), RUNNER.key(), 0, ReleaseReason.CLOSED));
	}

	private void receiveListing(long nowMillis, boolean endsComplete) {
		this.session.nextHeartbeat(nowMillis);
		this.session.onHeartbeatReply(
				new RunnerReply.Listing(nowMillis, OptionalLong.of(5), List.of(), List.of(), endsComplete), nowMillis);
	}

}
