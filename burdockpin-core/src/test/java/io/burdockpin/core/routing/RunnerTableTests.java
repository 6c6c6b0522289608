package io.burdockpin.core.routing;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import org.junit.jupiter.api.Test;

/** Guards against work for runners that left, attached elsewhere or lost contact. */
class RunnerTableTests {

	private static final QueueName QUEUE = new QueueName("quotes");

	/** Difference to the clock of the runner, which may start at any time. */
	private static final long CLOCK_OFFSET_MILLIS = 7_000_000;

	private final RunnerTable table = new RunnerTable(
			new RunnerTableSettings(3000, 72_000, RoutingPolicy.NEAREST_THEN_LEAST_BUSY), new DataCentre("dc-1"),
			RandomGeneratorFactory.of("L64X128MixRandom").create(5));

	@Test
	void aRunnerWithoutContactGetsNoWorkAndIsDetached() {
		announce("near", "dc-1", 1, 0, false, 0);
		Truth.assertThat(begin(1, 2999)).isPresent();
		Truth.assertThat(begin(2, 3000)).isEmpty();
		Truth.assertThat(this.table.expire(3000)).containsExactly(new RunnerName("near"));
	}

	/** Guards against a router that waits beyond the end of an attachment or a slot. */
	@Test
	void theNextExpiryIsTheEarliestEndOfAnAttachmentOrOfASlotInUse() {
		Truth.assertThat(this.table.nextExpiryMillis().isPresent()).isFalse();
		announce("near", "dc-1", 1, 0, false, 100);
		Truth.assertThat(this.table.nextExpiryMillis()).isEqualTo(OptionalLong.of(3100));
		this.table.beginAttempt(QUEUE, 1, Set.of(), 1100, 100);
		Truth.assertThat(this.table.nextExpiryMillis()).isEqualTo(OptionalLong.of(1300));
	}

	@Test
	void aLeavingRunnerImmediatelyGetsNoWork() {
		announce("near", "dc-1", 1, 0, false, 0);
		announce("near", "dc-1", 1, 0, true, 10);
		Truth.assertThat(begin(1, 11)).isEmpty();
	}

	@Test
	void anAnnouncementFromAnEarlierEpochChangesNothing() {
		announce("near", "dc-1", 2, 0, true, 0);
		Truth.assertThat(announce("near", "dc-1", 1, 0, false, 10)).isFalse();
		Truth.assertThat(begin(1, 11)).isEmpty();
	}

	@Test
	void aRunnerOfTheLocalDataCentreIsPreferredWhileItHasAFreeSlot() {
		announce("far", "dc-2", 1, 0, false, 0);
		announce("near", "dc-1", 1, 0, false, 0);
		Truth.assertThat(begin(1, 1).get().name().value()).isEqualTo("near");
		Truth.assertThat(begin(2, 1).get().name().value()).isEqualTo("near");
		Truth.assertThat(begin(3, 1).get().name().value()).isEqualTo("far");
	}

	@Test
	void slotsStillUsedByRequestsOfAPreviousEntryHostAreNotAssigned() {
		announce("near", "dc-1", 7, 2, false, 0);
		Truth.assertThat(begin(1, 1)).isEmpty();
		announce("near", "dc-1", 7, 1, false, 1000);
		Truth.assertThat(begin(2, 1001)).isPresent();
		Truth.assertThat(begin(3, 1001)).isEmpty();
	}

	@Test
	void theSlotOfAnAttemptWithUnknownOutcomeStaysInUseUntilTheDeadlineAndItsMargin() {
		announce("near", "dc-1", 1, 0, false, 0);
		this.table.beginAttempt(QUEUE, 1, Set.of(), 1000, 0);
		this.table.endAttempt(1, Outcome.UNKNOWN, AttemptVerdict.GOOD, 10);
		this.table.expire(1199);
		Truth.assertThat(this.table.slotsInUse(new RunnerName("near"))).isEqualTo(1);
		this.table.expire(1200);
		Truth.assertThat(this.table.slotsInUse(new RunnerName("near"))).isEqualTo(0);
	}

	@Test
	void idleConnectionsAreKeptOnlyToRunnersThatMayGetNewWork() {
		announce("leaves", "dc-1", 1, 0, true, 0);
		announce("fails", "dc-1", 1, 0, false, 0);
		announce("near", "dc-1", 1, 0, false, 10);
		for (long attempt = 1; attempt <= 3; attempt++) {
			this.table.beginAttempt(QUEUE, attempt, Set.of(new RunnerName("near")), 1000, 10);
			this.table.endAttempt(attempt, Outcome.NOT_RUN, AttemptVerdict.BAD, 10);
		}
		Truth.assertThat(this.table.idleConnectionLimits(20)).containsExactly(attachment("near"), 2);
		Truth.assertThat(this.table.idleConnectionLimits(3010)).isEmpty();
	}

	@Test
	void idleConnectionsOfTwoEntryHostsLeaveAConnectionForEveryAttempt() {
		for (int connections = 1; connections <= 40; connections++) {
			Runner runner = new Runner(new RunnerName("near"), QUEUE, new DataCentre("dc-1"), "127.0.0.1:1", false, 8,
					connections, 1, 0, false, OptionalLong.empty());
			Truth.assertThat(runner.capacity() + 2 * runner.idleCapacity()).isAtMost(connections);
			Truth.assertThat(runner.idleCapacity()).isAtMost(runner.capacity());
		}
	}

	@Test
	void aDeadlineIsConvertedByTheClockThatTheRunnerAnnouncedInItsEpoch() {
		RunnerName near = new RunnerName("near");
		Truth.assertThat(this.table.deadlineByRunnerClock(near, 30_000)).isEqualTo(OptionalLong.empty());
		announce("near", "dc-1", 1, 0, false, 0);
		announce("near", "dc-1", 1, 0, false, 1_000);
		Truth.assertThat(this.table.deadlineByRunnerClock(near, 3_000))
			.isEqualTo(OptionalLong.of(2_998 - CLOCK_OFFSET_MILLIS));
		this.table.announce(new Runner(near, QUEUE, new DataCentre("dc-1"), "127.0.0.1:1", false, 2, 64, 2, 0, false,
				OptionalLong.empty()), 1_500);
		Truth.assertThat(this.table.deadlineByRunnerClock(near, 3_000)).isEqualTo(OptionalLong.empty());
	}

	private static RunnerAttachment attachment(String name) {
		return new RunnerAttachment(new RunnerName(name), "127.0.0.1:1", false, 1);
	}

	private boolean announce(String name, String dataCentre, long epoch, int inUse, boolean leaving, long nowMillis) {
		return this.table.announce(new Runner(new RunnerName(name), QUEUE, new DataCentre(dataCentre), "127.0.0.1:1",
				false, 2, 64, epoch, inUse, leaving, OptionalLong.of(nowMillis - CLOCK_OFFSET_MILLIS)), nowMillis);
	}

	private Optional<Runner> begin(long attempt, long nowMillis) {
		return this.table.beginAttempt(QUEUE, attempt, Set.of(), nowMillis + 30_000, nowMillis);
	}

}
