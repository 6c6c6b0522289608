package io.burdockpin.entry.token;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.HolderForgotten;
import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.TokenUsage;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.TokenCommand.RegisterHolder;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry host that is left without tokens after the leader forgot it,
 * and against pushed grants that are ignored or counted twice.
 */
class TokenActorTests {

	private static final TeamName TEAM = new TeamName("payroll");

	private static final HostName HOST = new HostName("entry-1");

	private static final long REPORT_MILLIS = 1_000;

	private static final long TERM = 3;

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<ControlCommand> control = this.testKit.createTestProbe();

	private final TestProbe<TokenEvent> router = this.testKit.createTestProbe();

	private final TestProbe<TokenEvent> available = this.testKit.createTestProbe();

	private final AtomicLong nowMillis = new AtomicLong(1_000_000);

	private final ActorRef<TokenCommand> actor = this.testKit.spawn(TokenActor
		.create(new EntryIdentity(new Holder(HOST, 7), new PeerInfo(HOST, new DataCentre("dc-1"), "127.1.0.1:1"),
				() -> Instant.ofEpochMilli(this.nowMillis.get())), REPORT_MILLIS, this.control.getRef()));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	private final ActorRef<TokenGrants> pushes;

	TokenActorTests() {
		this.actor.tell(new TokenCommand.Subscribe(this.available.getRef()));
		this.pushes = this.control.expectMessageClass(ControlCommand.SubscribeGrants.class).subscriber();
	}

	@Test
	void aForgottenHostRegistersANewIncarnationAndCountsItsAttemptsInFlight() {
		accept(nextCall(), 7);
		answer(nextReport(), 2);
		Truth.assertThat(acquire(1)).isTrue();
		passReportPeriod();
		expectAvailable();
		answerForgotten(nextReport());
		ControlCommand.Call registration = nextCall();
		Truth.assertThat(acquire(2)).isFalse();
		accept(registration, 8);
		ControlCommand.Call first = nextReport();
		TokenReport report = report(first);
		Truth.assertThat(report.holder()).isEqualTo(new Holder(HOST, 8));
		Truth.assertThat(report.usages()).containsExactly(new TokenUsage(TEAM, 1, 1, 0));
		answer(first, 2);
		Truth.assertThat(acquire(3)).isTrue();
		Truth.assertThat(acquire(4)).isFalse();
		passReportPeriod();
		Truth.assertThat(report(nextReport()).usages()).containsExactly(new TokenUsage(TEAM, 2, 2, 0));
	}

	@Test
	void pushedTokensAreUsableAtOnceAndAreNotTakenTwice() {
		accept(nextCall(), 7);
		ControlCommand.Call report = nextReport();
		answer(report, 1);
		Truth.assertThat(acquire(1)).isTrue();
		Truth.assertThat(acquire(2)).isFalse();
		TokenGrants push = new TokenGrants(0, TERM, report(report).sequence(), 1, 45_000, 0,
				List.of(new TokenGrant(TEAM, 2, 0, 2)), List.of());
		this.pushes.tell(push);
		expectAvailable();
		Truth.assertThat(acquire(3)).isTrue();
		this.pushes.tell(push);
		Truth.assertThat(acquire(4)).isFalse();
	}

	private static void accept(ControlCommand.Call registration, long incarnation) {
		Truth.assertThat(holder(registration)).isEqualTo(new Holder(HOST, incarnation));
		registration.replyTo()
			.tell(new CallResult.Answered(
					new ClientMessage.ProposeReply(0, 10, new CommandResult.Accepted(1), List.of())));
	}

	private static Holder holder(ControlCommand.Call call) {
		ClientMessage.Propose proposal = (ClientMessage.Propose) call.message().apply(0);
		return ((RegisterHolder) proposal.command()).holder();
	}

	private ControlCommand.Call nextReport() {
		this.time.timePasses(Duration.ofMillis(1));
		ControlCommand.Call call = nextCall();
		Truth.assertThat(call.message().apply(0)).isInstanceOf(TokenReport.class);
		return call;
	}

	private ControlCommand.Call nextCall() {
		return this.control.expectMessageClass(ControlCommand.Call.class);
	}

	private static TokenReport report(ControlCommand.Call call) {
		return (TokenReport) call.message().apply(0);
	}

	private void answer(ControlCommand.Call call, int count) {
		call.replyTo()
			.tell(new CallResult.Answered(new TokenGrants(0, TERM, report(call).sequence(), 45_000,
					List.of(new TokenGrant(TEAM, count, 0, count)))));
		expectAvailable();
	}

	private void answerForgotten(ControlCommand.Call call) {
		call.replyTo().tell(new CallResult.Answered(new HolderForgotten(0, TERM, report(call).sequence())));
	}

	// Shows that the actor has applied the answer or reached the timer.
	private void expectAvailable() {
		Truth.assertThat(this.available.receiveMessage()).isEqualTo(new TokenEvent.Available(TEAM));
	}

	private void passReportPeriod() {
		this.time.timePasses(Duration.ofMillis(REPORT_MILLIS));
	}

	private boolean acquire(long attempt) {
		this.actor.tell(new TokenCommand.Acquire(TEAM, attempt, this.nowMillis.get() + 30_000, this.router.getRef()));
		return this.router.expectMessageClass(TokenEvent.AcquireResult.class).granted();
	}

}
