package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Late announcements that arrive after what they report was replaced by newer news. */
class AnnouncementOrderTests {

	private static final RunnerRecord READY = BatchFixtures.runner("r1", "pool", 10);

	private static final RunnerRecord DRAINING = READY.withoutNewTasks();

	private BatchState state = new BatchState();

	private FleetLeader leader;

	AnnouncementOrderTests() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")));
		this.leader = elect(2, 1_000);
	}

	/**
	 * Guards against new tasks on a draining runner: a late announcement must not end a
	 * draining that an earlier leader acknowledged.
	 */
	@Test
	void aLateAnnouncementDoesNotEndADrainingThatAnEarlierLeaderAcknowledged() {
		announce(READY, 4, 1_000);
		announce(DRAINING, 6, 2_000);
		this.leader = elect(3, 5_000);
		Truth.assertThat(announce(READY, 5, 8_000)).isEmpty();
		Truth.assertThat(registered().draining()).isTrue();
	}

	/** Guards against the same fault on a member that has restored a snapshot. */
	@Test
	void aLateAnnouncementDoesNotEndADrainingThatIsKnownFromASnapshot() {
		announce(DRAINING, 6, 2_000);
		this.state = BatchState.restore(this.state.snapshot());
		this.leader = elect(3, 5_000);
		Truth.assertThat(announce(READY, 5, 8_000)).isEmpty();
		Truth.assertThat(registered().draining()).isTrue();
	}

	/** Guards against the same fault when a leader starts its decisions again. */
	@Test
	void aLateAnnouncementDoesNotEndADrainingAfterTheDecisionsOfATermStartAgain() {
		announce(DRAINING, 6, 2_000);
		this.leader = elect(2, 2_100);
		Truth.assertThat(announce(READY, 5, 2_200)).isEmpty();
		Truth.assertThat(registered().draining()).isTrue();
	}

	@Test
	void aNewerAnnouncementEndsADrainingUnderEachLeader() {
		announce(DRAINING, 6, 2_000);
		this.leader = elect(3, 5_000);
		Truth.assertThat(announce(READY, 7, 8_000)).isPresent();
		Truth.assertThat(registered().draining()).isFalse();
	}

	/**
	 * Guards against a draining that is acknowledged because it is registered, while a
	 * change that ends it is being committed.
	 */
	@Test
	void aDrainingIsCommittedAgainIfAnEarlierAnnouncementIsStillBeingCommitted() {
		announce(DRAINING, 6, 2_000);
		Truth.assertThat(this.leader.onAnnouncement(READY, 7, 3_000)).isPresent();
		Truth.assertThat(this.leader.onAnnouncement(DRAINING, 8, 3_001)).isPresent();
	}

	/**
	 * Guards against announcements of a restarted runner that are taken for late ones.
	 */
	@Test
	void theAnnouncementsOfARestartedRunnerAreCountedAnew() {
		announce(DRAINING, 600, 2_000);
		this.leader = elect(3, 5_000);
		Truth.assertThat(announce(BatchFixtures.runner("r1", "pool", 20), 1, 8_000)).isPresent();
		Truth.assertThat(registered().draining()).isFalse();
		Truth.assertThat(announce(BatchFixtures.runner("r1", "pool", 20).withoutNewTasks(), 2, 8_500)).isPresent();
	}

	/** Guards against log entries for announcements that change nothing. */
	@Test
	void anAnnouncementThatChangesNothingIsNotCommitted() {
		announce(READY, 1, 1_000);
		Truth.assertThat(announce(READY, 2, 2_000)).isEmpty();
		this.leader = elect(3, 5_000);
		Truth.assertThat(announce(READY, 3, 6_000)).isEmpty();
		Truth.assertThat(announce(READY, 4, 7_000)).isEmpty();
	}

	/**
	 * Guards against tasks for a runner that has left: a late announcement must not end a
	 * departure, whichever number it has, since followers acknowledge announcements that
	 * the leader never hears of.
	 */
	@Test
	void aLateAnnouncementDoesNotEndADepartureThatAnEarlierLeaderAcknowledged() {
		announce(READY, 4, 1_000);
		depart(2_000);
		Truth.assertThat(announce(READY, 9, 8_000)).isEmpty();
		this.state = BatchState.restore(this.state.snapshot());
		this.leader = elect(3, 9_000);
		Truth.assertThat(announce(READY, 8, 15_000)).isEmpty();
		Truth.assertThat(registered().draining()).isTrue();
	}

	/**
	 * Guards against the late departure of an earlier incarnation that idles a runner.
	 */
	@Test
	void aRunnerThatGoesOnAfterADepartureIsUsedOnceNoLateAnnouncementCanArrive() {
		announce(READY, 4, 1_000);
		depart(2_000);
		Truth.assertThat(announce(READY, 14, 11_900)).isEmpty();
		Truth.assertThat(announce(READY, 15, 12_100)).isPresent();
		Truth.assertThat(registered().draining()).isFalse();
		Truth.assertThat(announce(READY, 16, 13_000)).isEmpty();
		this.leader = elect(3, 14_000);
		Truth.assertThat(announce(READY, 14, 14_100)).isEmpty();
		Truth.assertThat(registered().draining()).isFalse();
	}

	/**
	 * Guards against a draining that ends because it was announced during a departure.
	 */
	@Test
	void aDrainingThatIsAnnouncedDuringADepartureIsNotEndedByAnEarlierAnnouncement() {
		announce(READY, 4, 1_000);
		depart(2_000);
		announce(DRAINING, 8, 6_000);
		Truth.assertThat(announce(READY, 7, 12_500)).isEmpty();
		Truth.assertThat(registered().draining()).isTrue();
	}

	/** Guards against a departure that keeps the next incarnation from being used. */
	@Test
	void aRunnerThatStartsAgainAfterItsDepartureIsUsedAtOnce() {
		announce(READY, 4, 1_000);
		depart(2_000);
		Truth.assertThat(announce(BatchFixtures.runner("r1", "pool", 20), 1, 2_100)).isPresent();
		Truth.assertThat(registered().draining()).isFalse();
	}

	/** Guards against a departure that registers a removed runner again. */
	@Test
	void theDepartureOfARunnerThatIsDrainingOrGoneChangesNothing() {
		announce(READY.withoutNewTasks(), 4, 1_000);
		Truth.assertThat(this.leader.onDeparture("r1", 2_000)).isEmpty();
		Truth.assertThat(this.leader.onDeparture("unknown", 2_000)).isEmpty();
	}

	private void depart(long nowMillis) {
		BatchCommand departure = this.leader.onDeparture("r1", nowMillis).orElseThrow();
		apply(departure);
		this.leader.onApplied(departure, nowMillis);
	}

	private FleetLeader elect(long term, long nowMillis) {
		return new FleetLeader(this.state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), term, nowMillis);
	}

	private Optional<BatchCommand> announce(RunnerRecord runner, long sequence, long nowMillis) {
		Optional<BatchCommand> command = this.leader.onAnnouncement(runner, sequence, nowMillis);
		command.ifPresent((proposed) -> {
			apply(proposed);
			this.leader.onApplied(proposed, nowMillis);
		});
		return command;
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(1_000, List.of(command)));
	}

	private RunnerRecord registered() {
		return this.state.runner("r1").orElseThrow();
	}

}
