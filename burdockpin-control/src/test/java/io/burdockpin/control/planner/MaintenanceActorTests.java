package io.burdockpin.control.planner;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.maintenance.HostBootReport;
import io.burdockpin.core.maintenance.MaintenanceSettings;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.MaintenanceCommand.StartDrain;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MaintenanceActorTests {

	private static final Duration PERIOD = Duration.ofSeconds(1);

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<FakeReplica.Request> requests = this.testKit.createTestProbe();

	private final FakeReplica replica = new FakeReplica(this.requests);

	private final ActorRef<MaintenanceActor.Message> actor = this.testKit
		.spawn(MaintenanceActor.create(MaintenanceSettings.DEFAULT, PERIOD, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC),
				this.replica, this.testKit.<EventLog.Command>createTestProbe().getRef()));

	MaintenanceActorTests() {
		this.replica.startCampaign();
	}

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against draining a host twice because a round starts before the proposals of
	 * the last one are answered.
	 */
	@Test
	void theNextRoundWaitsForTheProposalsOfTheLastOne() {
		runRound();
		this.time.timePasses(PERIOD);
		FakeReplica.ProposalRequest proposal = this.requests.expectMessageClass(FakeReplica.ProposalRequest.class);
		this.requests.expectNoMessage(Duration.ZERO);
		proposal.replyTo().tell(new ReplicaPort.ProposalsEnded(1, 0));
		runRound();
		Truth.assertThat(this.replica.applyProposal()).hasSize(1);
	}

	/** Guards against a former leader that continues its campaign. */
	@Test
	void aMemberThatDoesNotLeadProposesNothing() {
		this.replica.follow();
		runRound();
		runRound();
		this.requests.expectNoMessage(Duration.ZERO);
	}

	/** Guards against detecting reboots by the boot IDs of an earlier term. */
	@Test
	void aNewTermDiscardsTheBootIdsOfEarlierReports() {
		HostBootReport bootReport = new HostBootReport(FakeReplica.WORKER, "boot-1");
		runRound();
		this.replica.applyProposal();
		this.actor
			.tell(new MaintenanceActor.WorkersObserved(List.of(bootReport), RemainingTimeEstimator.fromDeclarations()));
		runRound();
		Truth.assertThat(this.replica.applyProposal()).containsExactly(drain(Optional.of("boot-1")));
		this.replica.leadInNextTerm();
		runRound();
		Truth.assertThat(this.replica.applyProposal()).containsExactly(drain(Optional.empty()));
	}

	private void runRound() {
		this.time.timePasses(PERIOD);
		this.replica.answerView();
	}

	private static StartDrain drain(Optional<String> bootId) {
		return new StartDrain(FakeReplica.CAMPAIGN, FakeReplica.WORKER, 1, 30_000, bootId);
	}

}
