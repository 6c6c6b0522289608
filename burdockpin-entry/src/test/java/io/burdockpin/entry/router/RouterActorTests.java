package io.burdockpin.entry.router;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.event.EventRecorder;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RouterActorTests {

	private static final QueueName QUEUE = new QueueName("quotes");

	private static final long NOW_MILLIS = 1_000_000;

	private static final long TIMEOUT_MILLIS = 30_000;

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<ControlCommand> control = this.testKit.createTestProbe();

	private final TestProbe<TokenCommand> tokens = this.testKit.createTestProbe();

	private final TestProbe<FinalResponse> caller = this.testKit.createTestProbe();

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against actors of ended requests that stay for ever: a request that is not
	 * repeatable stops only when the router lets it.
	 */
	@Test
	void aRequestThatIsNotRepeatableStopsAfterItsEnd() {
		ActorRef<RouterCommand> router = startRouter();
		router.tell(new RouterCommand.Submit(notRepeatable("1000-charge"), NOW_MILLIS, this.caller.getRef()));
		ActorRef<CallResult> request = this.control.expectMessageClass(ControlCommand.Call.class).replyTo();
		request.tell(new CallResult.NotProposed("no leader"));
		Truth.assertThat(this.caller.receiveMessage().outcome()).isEqualTo(Outcome.NOT_RUN);
		this.caller.expectTerminated(request);
	}

	// helpers

	private ActorRef<RouterCommand> startRouter() {
		AddressSettings address = new AddressSettings("127.1.0.1", 0);
		EntrySettings settings = new EntrySettings("entry-1", "dc-1", address, address, List.of(),
				List.of(new MemberSettings("control-1", address)), null, null, null, Optional.empty(), null, null,
				Optional.empty(), Optional.empty(), null);
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName("entry-1"), 7), settings.self(),
				() -> Instant.ofEpochMilli(NOW_MILLIS));
		ActorRef<RouterCommand> router = this.testKit.spawn(RouterActor.create(identity, settings, Optional.empty(),
				this.control.getRef(), this.tokens.getRef(), RandomGenerator.of("L64X128MixRandom"),
				new EventRecorder(identity, Optional.empty()), new MetricRegistry()));
		this.control.expectMessageClass(ControlCommand.Subscribe.class)
			.subscriber()
			.tell(new ConfigurationEvent.Activated(ConfigurationView.of(new ConfigurationSnapshot(5, List.of(),
					List.of(), List.of(), List.of(), List.of(new QueueRecord(QUEUE, true, 1))))));
		return router;
	}

	private static CallerRequest notRepeatable(String id) {
		RequestId requestId = new RequestId(id);
		AdmissionRequest admission = new AdmissionRequest(QUEUE, 0, Optional.empty(), Optional.of(requestId), false,
				TIMEOUT_MILLIS);
		return new CallerRequest(admission, requestId, "text/plain", Payload.EMPTY);
	}

}
