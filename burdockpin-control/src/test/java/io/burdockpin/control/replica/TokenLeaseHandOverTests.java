package io.burdockpin.control.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.control.planner.TokenPlannerActor;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.limit.HolderDeltas;
import io.burdockpin.core.limit.LocalTokens;
import io.burdockpin.core.limit.TokenAllocator;
import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.limit.TokenView;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenCommand;
import io.burdockpin.core.state.TokenRecord;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.BehaviorInterceptor;
import org.apache.pekko.actor.typed.TypedActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that renews a lease of tokens after another member was elected,
 * so that the lease lasts longer than the successor waits for it. The lease is short, so
 * that its margin covers no delay of the leaders.
 */
class TokenLeaseHandOverTests {

	private static final TeamName TEAM = new TeamName("payroll");

	private static final Holder HOLDER = new Holder(new HostName("entry-1"), 1);

	private static final Holder OTHER_HOLDER = new Holder(new HostName("entry-2"), 1);

	private static final DataCentre DATA_CENTRE = new DataCentre("dc-1");

	private static final TokenSettings SETTINGS = new TokenSettings(1_000, 60_000, 3_000);

	private static final TeamSpec SPEC = new TeamSpec(TEAM, 1, 2, 0);

	/** A token planner sends no answers before it has run for this time. */
	private static final long SETTLE_MILLIS = 2_000;

	/** Shorter than an election timeout. */
	private static final long PASS_MILLIS = 500;

	private static final ClientMessage END_OF_ANSWERS = new ClientMessage.NotLeader(0, Optional.empty());

	private final AtomicLong nowMillis = new AtomicLong();

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final TestProbe<ReplicaMessage> toReplica = this.testKit.createTestProbe();

	private final TestProbe<ClientMessage> entryHost = this.testKit.createTestProbe();

	private final ReplicaWithFakeMembers replica = new ReplicaWithFakeMembers(this.nowMillis);

	private final TestProbe<TokenPlannerActor.Message> handledByPlanner = this.testKit.createTestProbe();

	private final ActorRef<TokenPlannerActor.Message> planner = this.testKit.spawn(Behaviors
		.intercept(() -> new HandledMessages(this.handledByPlanner.getRef()), TokenPlannerActor.create(SETTINGS,
				Duration.ofMinutes(1), () -> Instant.ofEpochMilli(this.nowMillis.get()), this.toReplica.getRef())));

	private final LocalTokens localTokens = new LocalTokens(HOLDER);

	private final HolderDeltas deltas = new HolderDeltas();

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void aLeaderRenewsNoLeaseAfterAnotherMemberMayHaveBeenElected() {
		leadWithTokensOfTheHolder();
		answerWithAcknowledgement(requestOfHolder());
		receiveGrants();
		Truth.assertThat(leasedCount()).isEqualTo(1);
		// From here on the other members hear nothing of this leader, so they may elect
		// another one before this one notices.
		long lastHeardMillis = this.nowMillis.get();
		long electedMillis = lastHeardMillis + ReplicaSettings.DEFAULT.electionTimeoutMinimumMillis();
		TokenAllocator successor = new TokenAllocator(SETTINGS, 2, electedMillis);
		this.nowMillis.set(lastHeardMillis + ReplicaSettings.DEFAULT.electionTimeoutMaximumMillis() - 1);
		this.replica.run(requestOfHolder());
		this.replica.hearOfSuccessor(2);
		awaitEndOfRound();
		receiveGrants();
		// Once the successor takes the leased token, the holder must not use it any more.
		this.nowMillis.set(electedMillis + TokenSettings.withMargin(SETTINGS.leaseMillis()));
		Truth.assertThat(successor.plan(view(), this.nowMillis.get()))
			.containsExactly(new TokenCommand.GrantTokens(TEAM, HOLDER, 1, 0, 1));
		Truth.assertThat(leasedCount()).isEqualTo(0);
	}

	private void leadWithTokensOfTheHolder() {
		this.replica.lead();
		this.replica.commit(new ConfigurationCommand.CreateTeam(SPEC));
		this.replica.commit(new TokenCommand.RegisterHolder(HOLDER, DATA_CENTRE));
		this.replica.commit(new TokenCommand.GrantTokens(TEAM, HOLDER, 1, 1, 0));
		this.localTokens.updateDemand(Map.of(TEAM, 2));
		ReplicaMessage.FetchRecords first = requestOfHolder();
		for (long passedMillis = 0; passedMillis < SETTLE_MILLIS; passedMillis += PASS_MILLIS) {
			this.nowMillis.addAndGet(PASS_MILLIS);
			this.replica.run(ReplicaMessage.Timer.TICK);
			this.replica.letOtherAcknowledge();
		}
		answerWithAcknowledgement(first);
	}

	private ReplicaMessage.FetchRecords requestOfHolder() {
		long sentMillis = this.nowMillis.get();
		return requestFor(this.deltas.toDelta(this.localTokens.nextReport(sentMillis), sentMillis));
	}

	// The planner requests records for a report only after the round before it has ended.
	private ReplicaMessage.FetchRecords requestFor(TokenReport report) {
		this.planner.tell(new TokenPlannerActor.ReportArrived(report, this.entryHost.getRef()));
		return this.toReplica.expectMessageClass(ReplicaMessage.FetchRecords.class);
	}

	// The request of another holder shows that the planner has sent its answers.
	private void receiveGrants() {
		ReplicaMessage.FetchRecords next = requestFor(new LocalTokens(OTHER_HOLDER).nextReport(this.nowMillis.get()));
		this.entryHost.getRef().tell(END_OF_ANSWERS);
		ClientMessage answer = this.entryHost.receiveMessage();
		while (!answer.equals(END_OF_ANSWERS)) {
			if (answer instanceof TokenGrants grants) {
				this.deltas.fromDelta(grants).filter(this.localTokens::applyGrants).ifPresent(this.deltas::onApplied);
			}
			answer = this.entryHost.receiveMessage();
		}
		answerWithAcknowledgement(next);
	}

	private void answerWithAcknowledgement(ReplicaMessage.FetchRecords request) {
		this.replica.run(request);
		this.replica.letOtherAcknowledge();
		awaitEndOfRound();
	}

	// The records arrive at the planner some time after the replica has sent them. A
	// planner that learns that it does not lead drops reports that overtook the records.
	private void awaitEndOfRound() {
		TokenPlannerActor.Message handled = this.handledByPlanner.receiveMessage();
		while (handled instanceof TokenPlannerActor.ReportArrived) {
			handled = this.handledByPlanner.receiveMessage();
		}
	}

	private int leasedCount() {
		return this.localTokens.counts(this.nowMillis.get()).get(0).leasedCount();
	}

	private static TokenView view() {
		return new TokenView(List.of(new TeamRecord(SPEC, 1)), List.of(new HolderRecord(HOLDER, DATA_CENTRE, false)),
				List.of(new TokenRecord(TEAM, HOLDER, 1, 1, 1)), List.of(), List.of());
	}

	/** Shows which messages the planner has handled completely. */
	private static final class HandledMessages
			extends BehaviorInterceptor<TokenPlannerActor.Message, TokenPlannerActor.Message> {

		private final ActorRef<TokenPlannerActor.Message> observer;

		HandledMessages(ActorRef<TokenPlannerActor.Message> observer) {
			super(TokenPlannerActor.Message.class);
			this.observer = observer;
		}

		@Override
		public Behavior<TokenPlannerActor.Message> aroundReceive(TypedActorContext<TokenPlannerActor.Message> context,
				TokenPlannerActor.Message message, ReceiveTarget<TokenPlannerActor.Message> target) {
			Behavior<TokenPlannerActor.Message> next = target.apply(context, message);
			this.observer.tell(message);
			return next;
		}

	}

}
