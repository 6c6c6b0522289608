package io.burdockpin.entry.peer;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.entry.cfg.PeerSettings;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerActorTests {

	private static final HostName PEER = new HostName("entry-2");

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<RouterCommand> router = this.testKit.createTestProbe();

	private final TestProbe<ControlCommand> control = this.testKit.createTestProbe();

	private final TestProbe<LinkCommand<PeerEnvelope>> session = this.testKit.createTestProbe();

	private final AtomicLong nowMillis = new AtomicLong(1_000_000);

	private final EntrySettings settings = settings();

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against requests that are forwarded into a data centre that hears nothing:
	 * as it is heard itself, they would wait for their deadlines there.
	 */
	@Test
	void anEntryHostAcceptsWorkOnlyFromPeersThatItHears() {
		ActorRef<PeerCommand> actor = start();
		actor.tell(new PeerCommand.LinkEventReceived(new LinkEvent.Connected<>(PEER.value(), this.session.getRef())));
		Truth.assertThat(refusesWork(actor)).isTrue();
		actor.tell(statusOfPeer(1));
		Truth.assertThat(refusesWork(actor)).isFalse();
		this.nowMillis.addAndGet(this.settings.timing().peerSilentMillis());
		Truth.assertThat(refusesWork(actor)).isTrue();
		actor.tell(statusOfPeer(2));
		Truth.assertThat(refusesWork(actor)).isFalse();
	}

	// helpers

	private ActorRef<PeerCommand> start() {
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName("entry-1"), 7), this.settings.self(),
				() -> Instant.ofEpochMilli(this.nowMillis.get()));
		return this.testKit.spawn(PeerActor.create(identity, this.settings, this.router.getRef(), this.control.getRef(),
				new MetricRegistry()));
	}

	private PeerCommand statusOfPeer(long number) {
		PeerMessage status = new PeerMessage.PeerStatus(number, new DataCentre("dc-2"), "127.1.0.2:1", false, 5,
				List.of(), this.nowMillis.get());
		return new PeerCommand.LinkEventReceived(new LinkEvent.Received<>(PeerActor.LISTENER, this.session.getRef(),
				new PeerEnvelope(new Holder(PEER, 9), HybridTimestamp.ZERO, status)));
	}

	@SuppressWarnings("unchecked")
	private boolean refusesWork(ActorRef<PeerCommand> actor) {
		actor.tell(new PeerCommand.StatusReceived(
				new RouterCommand.RouterStatus(true, 5, false, 0, List.of(), List.of())));
		while (true) {
			PeerMessage message = ((LinkCommand.Send<PeerEnvelope>) this.session
				.expectMessageClass(LinkCommand.Send.class)).message().message();
			if (message instanceof PeerMessage.PeerStatus status) {
				return status.stopping();
			}
			if (message instanceof PeerMessage.PeerStatusChange change) {
				return change.stopping();
			}
		}
	}

	private static EntrySettings settings() {
		AddressSettings address = new AddressSettings("127.1.0.1", 0);
		return new EntrySettings("entry-1", "dc-1", address, address,
				List.of(new PeerSettings(PEER.value(), "dc-2", address, address)),
				List.of(new MemberSettings("control-1", address)), null, null, null, Optional.empty(), null, null,
				Optional.empty(), Optional.empty(), null);
	}

}
