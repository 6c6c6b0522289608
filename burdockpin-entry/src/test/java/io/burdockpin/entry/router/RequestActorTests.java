package io.burdockpin.entry.router;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The end of a request that is not repeatable, as its router sees it. */
class RequestActorTests {

	private static final HostName HOST = new HostName("entry-1");

	private static final QueueName QUEUE = new QueueName("quotes");

	private static final RequestId REQUEST = new RequestId("1000-charge");

	private static final long NOW_MILLIS = 1_000_000;

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final long PROPOSAL_MILLIS = 5_000;

	private static final long ATTEMPT = 2;

	private static final RunnerResponse CHARGED = new RunnerResponse(200, "text/plain", Payload.of(new byte[] { 1 }));

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<RouterCommand> router = this.testKit.createTestProbe();

	private final TestProbe<ControlCommand> control = this.testKit.createTestProbe();

	private final TestProbe<RunnerConnections.Command> connections = this.testKit.createTestProbe();

	private final TestProbe<FinalResponse> caller = this.testKit.createTestProbe();

	private final TestProbe<FinalResponse> resend = this.testKit.createTestProbe();

	private final ActorRef<RequestActor.Message> actor = this.testKit.spawn(RequestActor.create(request(),
			new QueuedRequest(1, Optional.empty(), 1, NOW_MILLIS + TIMEOUT_MILLIS), this.caller.getRef()));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against a resend that is never answered, because the router passed it on
	 * before it had read that the request ended.
	 */
	@Test
	void aResendThatTheRouterPassesOnBeforeItReadsTheEndGetsTheSameAnswer() {
		run();
		this.router.expectMessageClass(RouterCommand.RequestEnded.class);
		this.actor.tell(new RequestActor.Join(this.resend.getRef()));
		Truth.assertThat(this.resend.receiveMessage()).isEqualTo(new FinalResponse.Relayed(CHARGED));
	}

	/** Guards against actors of ended requests that stay for ever. */
	@Test
	void aRequestStopsOnceTheRouterHasRemovedItAlsoAfterAResend() {
		run();
		this.actor.tell(new RequestActor.Join(this.resend.getRef()));
		this.actor.tell(new RequestActor.Release());
		this.resend.expectMessageClass(FinalResponse.Relayed.class);
		this.resend.expectTerminated(this.actor);
	}

	// helpers

	private void run() {
		acceptProposal();
		this.router.expectMessageClass(RouterCommand.Enqueue.class)
			.replyTo()
			.tell(new Dispatch.ToRunner(ATTEMPT, runner(), OptionalLong.empty(), this.connections.getRef()));
		this.connections.expectMessageClass(RunnerConnections.Attempt.class)
			.replyTo()
			.tell(new AttemptReport(AttemptResult.ran(CHARGED), AttemptVerdict.GOOD));
		this.router.expectMessageClass(RouterCommand.AttemptEnded.class);
		Truth.assertThat(this.caller.receiveMessage()).isEqualTo(new FinalResponse.Relayed(CHARGED));
		acceptProposal();
	}

	private void acceptProposal() {
		this.control.expectMessageClass(ControlCommand.Call.class)
			.replyTo()
			.tell(new CallResult.Answered(
					new ClientMessage.ProposeReply(1, 1, new CommandResult.Accepted(1), List.of())));
	}

	private RequestContext request() {
		AdmissionRequest admission = new AdmissionRequest(QUEUE, 0, Optional.empty(), Optional.of(REQUEST), false,
				TIMEOUT_MILLIS);
		EntryIdentity identity = new EntryIdentity(new Holder(HOST, 7),
				new PeerInfo(HOST, new DataCentre("dc-1"), "127.1.0.1:1"), () -> Instant.ofEpochMilli(NOW_MILLIS));
		return new RequestContext(new CallerRequest(admission, REQUEST, "text/plain", Payload.EMPTY), identity,
				LimitSettings.defaults(), PROPOSAL_MILLIS, this.router.getRef(), this.control.getRef());
	}

	private static Runner runner() {
		return new Runner(new RunnerName("runner-1"), QUEUE, new DataCentre("dc-1"), "127.1.0.4:1", false, 2, 4, 1, 0,
				false, OptionalLong.empty());
	}

}
