package io.burdockpin.core.batch.lead.run;

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

	private final RunnerSession session = new RunnerSession(RUNNER, SETTINGS, 1, 0);

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
	 * Guards against a start that is ordered again, and against a task that waits for a
	 * lease, when the runner's data centre is closed while a start has no answer.
	 */
	@Test
	void aStartWithoutAnswerIsStoppedAndReleasedOnceTheRunnerAcceptsNoNewTasks() {
		RunnerOrder.Start start = orderStart(1);
		this.session.onOrderReply(start, RunnerReply.NoAnswer.UNKNOWN, 720);
		this.session.update(RUNNER.withoutNewTasks());
		Truth.assertThat(this.session.nextOrder(800)).isEmpty();
		receiveListing(1_000, true);
		RunnerOrder.Stop stop = new RunnerOrder.Stop(1, start.task(), 1);
		Truth.assertThat(this.session.nextOrder(1_100)).hasValue(stop);
		this.session.onOrderReply(stop, new RunnerReply.Accepted(1_110), 1_110);
		receiveListing(1_500, true);
		Truth.assertThat(this.session.drainReleases().stream().map(RunRelease::reason).toList())
			.containsExactly(ReleaseReason.CLOSED);
		Truth.assertThat(this.session.nextOrder(5_000)).isEmpty();
	}

	/** Guards against runs that are stopped because their start was answered late. */
	@Test
	void aStartThatIsAcceptedAfterTheRunnerStoppedAcceptingTasksContinues() {
		RunnerOrder.Start start = orderStart(1);
		this.session.update(RUNNER.withoutNewTasks());
		this.session.onOrderReply(start, new RunnerReply.Accepted(30), 30);
		Truth.assertThat(this.session.nextOrder(1_000)).isEmpty();
		Truth.assertThat(this.session.drainReleases()).isEmpty();
	}

	/** Guards against runs that wait for the answer to an order about another run. */
	@Test
	void runsThatWereNeverOrderedAreReleasedAtOnceWhenTheRunnerAcceptsNoNewTasks() {
		orderStart(3);
		this.session.update(RUNNER.withoutNewTasks());
		this.session.releaseUnorderedRuns(25);
		Truth.assertThat(this.session.drainReleases().stream().map(RunRelease::reason).toList())
			.containsExactly(ReleaseReason.NEVER_ORDERED, ReleaseReason.NEVER_ORDERED);
	}

	private RunnerOrder.Start orderStart(int runs) {
		receiveListing(0, true);
		for (int index = 0; index < runs; index++) {
			this.session.add(new Run(new TaskId("job", 0, 0, index), 1, RUNNER.key(), "team", Resources.NONE,
					Resources.NONE, false), new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()),
					false);
		}
		return (RunnerOrder.Start) this.session.nextOrder(20).get();
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

	/**
	 * Guards against two simultaneous runs of a task. Occurs when the next incarnation of
	 * a runner carries out a start that was on its way to the earlier one.
	 */
	@Test
	void aRunThatWasOrderedToAnEarlierIncarnationIsStoppedBeforeItsTaskMayStartAgain() {
		TaskId task = new TaskId("job", 0, 0, 0);
		RunnerSession next = nextIncarnationAfterAStartOf(task);
		Truth.assertThat(next.inheritedTasks()).containsExactly(task);
		next.nextHeartbeat(1_000);
		RunnerOrder stop = next.nextOrder(1_000).get();
		Truth.assertThat(stop).isEqualTo(new RunnerOrder.Stop(1, task, 1));
		// This listing was requested before the stop.
		next.onOrderReply(stop, new RunnerReply.Accepted(1_010), 1_010);
		next.onHeartbeatReply(listing(6), 1_020);
		Truth.assertThat(next.inheritedTasks()).containsExactly(task);
		Truth.assertThat(next.isUsable(1_020)).isFalse();
		next.nextHeartbeat(1_020);
		next.onHeartbeatReply(listing(6), 1_030);
		Truth.assertThat(next.inheritedTasks()).isEmpty();
		Truth.assertThat(next.isUsable(1_030)).isTrue();
	}

	@Test
	void aTaskOfAnEarlierIncarnationIsHeldBackNoLongerThanALeaseLasts() {
		RunnerSession next = nextIncarnationAfterAStartOf(new TaskId("job", 0, 0, 0));
		next.removeExpiredInheritedRuns(1_000 + SETTINGS.earlierLeaseExpiryMillis() - 1);
		Truth.assertThat(next.inheritedTasks()).hasSize(1);
		next.removeExpiredInheritedRuns(1_000 + SETTINGS.earlierLeaseExpiryMillis());
		Truth.assertThat(next.inheritedTasks()).isEmpty();
	}

	/**
	 * Guards against runs that are started elsewhere before the leader has a session with
	 * the incarnation that may carry them out.
	 */
	@Test
	void aRunnerThatHasStartedAgainIsNotCountedAsEndedBeforeItsNextIncarnationIsRegistered() {
		this.session.nextHeartbeat(0);
		this.session.onHeartbeatReply(listing(6), 10);
		long endMillis = 10 + SETTINGS.earlierLeaseExpiryMillis();
		Truth.assertThat(this.session.nextHeartbeat(1_000)).isEmpty();
		Truth.assertThat(this.session.nextOrder(1_000)).isEmpty();
		Truth.assertThat(this.session.haveRunsEnded(endMillis - 1)).isFalse();
		Truth.assertThat(this.session.haveRunsEnded(endMillis)).isTrue();
		Truth.assertThat(this.session.hasEnded(endMillis)).isTrue();
	}

	private RunnerSession nextIncarnationAfterAStartOf(TaskId task) {
		receiveListing(0, true);
		this.session.add(new Run(task, 1, RUNNER.key(), "team", Resources.NONE, Resources.NONE, false),
				new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()), false);
		this.session.nextOrder(20);
		RunnerRecord restarted = new RunnerRecord(new RunnerKey("runner", 6), Optional.of("host"), "pool", "10.0.0.2:1",
				"dc1", Optional.empty(), Resources.NONE, Set.of(), false);
		RunnerSession next = new RunnerSession(restarted, SETTINGS, 1, 1_000);
		next.inheritRuns(this.session, 1_000);
		return next;
	}

	private static RunnerReply.Listing listing(long startMillis) {
		return new RunnerReply.Listing(1_000, OptionalLong.of(startMillis), List.of(), List.of(), true);
	}

	private void receiveListing(long nowMillis, boolean endsComplete) {
		this.session.nextHeartbeat(nowMillis);
		this.session.onHeartbeatReply(
				new RunnerReply.Listing(nowMillis, OptionalLong.of(5), List.of(), List.of(), endsComplete), nowMillis);
	}

}
