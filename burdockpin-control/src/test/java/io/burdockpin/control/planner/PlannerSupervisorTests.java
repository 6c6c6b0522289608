package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.control.link.PlannerReport;
import io.burdockpin.control.replica.FleetRecords;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.testkit.typed.FishingOutcome;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.FishingOutcomes;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlannerSupervisorTests {

	private static final Holder ENTRY_HOST = new Holder(new HostName("e1"), 1);

	/** Longer than the first restart back-off and than a round. */
	private static final Duration RESTART = Duration.ofSeconds(1);

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(20);

	/** A token planner sends no answers before this time. */
	private static final long SETTLED_MILLIS = 2_000;

	private static final Duration POLL = Duration.ofMillis(200);

	private final AtomicLong nowMillis = new AtomicLong();

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<ReplicaMessage> replica = this.testKit.createTestProbe();

	private final TestProbe<ClientMessage> entryHost = this.testKit.createTestProbe();

	private final ActorRef<PlannerReport> supervisor = this.testKit
		.spawn(PlannerSupervisor.create(PlannerSettings.DEFAULT, () -> Instant.ofEpochMilli(this.nowMillis.get()),
				this.replica.getRef(), this.testKit.<EventLog.Command>createTestProbe().getRef()));

	private long generation;

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/** Guards against reports that are forwarded to the wrong planner or dropped. */
	@Test
	void reportsOfTokensAndOfWorkersAreAnsweredByTheirPlanners() {
		report(new TokenReport(1, ENTRY_HOST, 1, 0, 0, List.of()));
		answerRecords(List.of());
		Truth.assertThat(this.entryHost.receiveMessage()).isInstanceOf(TokenGrants.class);
		// The planners of placement, maintenance and tokens each request records.
		this.time.timePasses(PlannerSettings.DEFAULT.maintenancePeriod());
		for (int planner = 0; planner < 3; planner++) {
			answerRecords(List.of());
		}
		WorkerReport worker = new WorkerReport(new HostName("w1"), "boot-1", 1, Resources.NONE, List.of());
		// The planner does not answer reports before it has received the records.
		this.entryHost.awaitAssert(LONGEST_WAIT, () -> {
			report(new WorkerReports(2, ++this.generation, 0, 0, List.of(worker), List.of(), List.of()));
			return this.entryHost.expectMessageClass(WorkerOrders.class, POLL);
		});
	}

	/**
	 * Guards against a leader that stops dividing limits after one failure of the
	 * planner.
	 */
	@Test
	void aPlannerThatFailedIsRestartedAndAnswersAgain() {
		report(new TokenReport(1, ENTRY_HOST, 1, 0, 0, List.of()));
		TestProbe<Boolean> failures = this.testKit.createTestProbe();
		answerRecords(new FailingList(failures.getRef()));
		failures.receiveMessage();
		this.entryHost.expectNoMessage(Duration.ZERO);
		ReplicaMessage request = nextRequestAfterRestart();
		Truth.assertThat(request).isInstanceOf(ReplicaMessage.FetchRecords.class);
	}

	// helpers

	private ReplicaMessage nextRequestAfterRestart() {
		return this.replica.awaitAssert(LONGEST_WAIT, () -> {
			// The supervisor may not have handled the failure yet.
			this.time.timePasses(RESTART);
			report(new TokenReport(2, ENTRY_HOST, 2, 0, 0, List.of()));
			return this.replica.fishForMessage(POLL, PlannerSupervisorTests::skipWatch).get(0);
		});
	}

	private void report(ClientMessage message) {
		this.supervisor.tell(new PlannerReport(ENTRY_HOST, message, this.entryHost.getRef()));
	}

	private void answerRecords(List<JobRecord> jobs) {
		List<ReplicaMessage> next = this.replica.fishForMessage(LONGEST_WAIT, PlannerSupervisorTests::skipWatch);
		ReplicaMessage.FetchRecords request = (ReplicaMessage.FetchRecords) next.get(0);
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(1, List.of(), List.of(), List.of(), List.of(),
				List.of());
		HolderRecord holder = new HolderRecord(ENTRY_HOST, new DataCentre("dc-1"), false);
		// The planner reads its start time before it sends the request.
		this.nowMillis.set(SETTLED_MILLIS);
		request.replyTo()
			.tell(new FleetRecords(true, 1, SETTLED_MILLIS, 1, configuration, List.of(holder), List.of(), jobs,
					List.of()));
	}

	// The placement planner subscribes to changes once, at a time that is not
	// deterministic.
	private static FishingOutcome skipWatch(ReplicaMessage message) {
		return (message instanceof ReplicaMessage.Watch) ? FishingOutcomes.continueAndIgnore()
				: FishingOutcomes.complete();
	}

	/** A list that throws when an element is read. */
	private static final class FailingList extends java.util.AbstractList<JobRecord> {

		private final ActorRef<Boolean> failures;

		private FailingList(ActorRef<Boolean> failures) {
			this.failures = failures;
		}

		@Override
		public JobRecord get(int index) {
			throw new IllegalStateException("injected failure");
		}

		@Override
		public int size() {
			this.failures.tell(true);
			return 1;
		}

	}

}
