package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.control.replica.FleetRecords;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.limit.LocalTokens;
import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TokenCommand;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against grants that are sent before they are committed, and against rounds that
 * never end.
 */
class TokenPlannerActorTests {

	private static final TeamName TEAM = new TeamName("payroll");

	private static final Duration ROUND_PERIOD = Duration.ofMillis(250);

	private static final Holder HOLDER = new Holder(new HostName("entry-1"), 1);

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<ReplicaMessage> replica = this.testKit.createTestProbe();

	private final TestProbe<ClientMessage> entryHost = this.testKit.createTestProbe();

	private final AtomicLong nowMillis = new AtomicLong();

	private final ActorRef<TokenPlannerActor.Message> actor = this.testKit
		.spawn(TokenPlannerActor.create(TokenSettings.DEFAULT, ROUND_PERIOD,
				() -> Instant.ofEpochMilli(this.nowMillis.get()), this.replica.getRef()));

	private final FleetState state = FleetState.empty();

	private final LocalTokens localTokens = new LocalTokens(HOLDER);

	private boolean leader = true;

	private long runningMillis = 2_000;

	TokenPlannerActorTests() {
		apply(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 8, 0)));
		apply(new TokenCommand.RegisterHolder(HOLDER, new DataCentre("dc-1")));
	}

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void aReportIsAnsweredWithWhatWasCommittedForIt() {
		reportDemand(6);
		answerRecords();
		List<ReplicaMessage.Propose> proposals = proposals();
		this.entryHost.expectNoMessage(Duration.ZERO);
		proposals.forEach(this::commit);
		answerRecords();
		TokenGrants grants = this.entryHost.expectMessageClass(TokenGrants.class);
		Truth.assertThat(grants.grants()).containsExactly(new TokenGrant(TEAM, 4, 2, 6));
		Truth.assertThat(this.localTokens.applyGrants(grants)).isTrue();
		Truth.assertThat(this.state.tokens().get(0).count()).isEqualTo(6);
	}

	@Test
	void tokensThatBecomeFreeArePushedAtOnceToAHolderThatLacksThem() {
		reportDemand(20);
		answerRecords();
		proposals().forEach(this::commit);
		answerRecords();
		TokenGrants first = this.entryHost.expectMessageClass(TokenGrants.class);
		Truth.assertThat(this.localTokens.applyGrants(first)).isTrue();
		apply(new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 1, 12, 0)));
		this.time.timePasses(ROUND_PERIOD);
		answerRecords();
		List<ReplicaMessage.Propose> proposals = proposals();
		this.entryHost.expectNoMessage(Duration.ZERO);
		proposals.forEach(this::commit);
		answerRecords();
		TokenGrants push = this.entryHost.expectMessageClass(TokenGrants.class);
		Truth.assertThat(push.answersCall()).isFalse();
		Truth.assertThat(push.grants()).containsExactly(new TokenGrant(TEAM, 6, 6, 12));
		Truth.assertThat(this.localTokens.applyGrants(push)).isTrue();
	}

	@Test
	void aMemberThatDoesNotLeadDoesNotAnswer() {
		this.leader = false;
		reportDemand(1);
		answerRecords();
		expectNoAnswerInThisRound();
	}

	@Test
	void aForgottenHolderThatReportsIsToldToStartANewIncarnation() {
		apply(new TokenCommand.ForgetHost(HOLDER.host()));
		reportDemand(6);
		answerRecords();
		ClientMessage.HolderForgotten forgotten = this.entryHost
			.expectMessageClass(ClientMessage.HolderForgotten.class);
		Truth.assertThat(this.localTokens.onForgotten(forgotten)).isEqualTo(Optional.of(new Holder(HOLDER.host(), 2)));
	}

	@Test
	void aLostReplyToAProposalDoesNotStopTheAnswers() {
		reportDemand(6);
		answerRecords();
		proposals();
		this.time.timePasses(Duration.ofSeconds(2));
		answerRecords();
		Truth.assertThat(this.entryHost.expectMessageClass(TokenGrants.class).grants())
			.containsExactly(new TokenGrant(TEAM, 0, 0, 6));
	}

	@Test
	void aRestartedPlannerDoesNotAnswerWhileItsEarlierReductionsMayStillBeApplied() {
		this.runningMillis = 1_999;
		reportDemand(6);
		answerRecords();
		proposals().forEach(this::commit);
		answerRecords();
		expectNoAnswerInThisRound();
	}

	// The next round requests records only after this one has ended.
	private void expectNoAnswerInThisRound() {
		this.time.timePasses(ROUND_PERIOD);
		answerRecords();
		this.entryHost.expectNoMessage(Duration.ZERO);
	}

	private void reportDemand(int waitingCount) {
		this.localTokens.updateDemand(Map.of(TEAM, waitingCount));
		this.actor.tell(new TokenPlannerActor.ReportArrived(this.localTokens.nextReport(0), this.entryHost.getRef()));
	}

	private void answerRecords() {
		ReplicaMessage.FetchRecords fetch = this.replica.expectMessageClass(ReplicaMessage.FetchRecords.class);
		// The actor reads its start time before it sends the first request.
		this.nowMillis.set(this.runningMillis);
		fetch.replyTo()
			.tell(new FleetRecords(this.leader, 3, this.runningMillis, this.state.index(), this.state.configuration(),
					this.state.holders(), this.state.tokens(), this.state.jobs(), this.state.campaigns()));
	}

	private List<ReplicaMessage.Propose> proposals() {
		return List.of(this.replica.expectMessageClass(ReplicaMessage.Propose.class));
	}

	private void commit(ReplicaMessage.Propose proposal) {
		CommandResult result = apply(proposal.request().command());
		proposal.replyTo()
			.tell(new ClientMessage.ProposeReply(proposal.request().correlation(), this.state.index(), result,
					List.of()));
	}

	private CommandResult apply(Command command) {
		return this.state.apply(this.state.index() + 1,
				new Proposal(0, Optional.empty(), OptionalLong.empty(), command));
	}

}
