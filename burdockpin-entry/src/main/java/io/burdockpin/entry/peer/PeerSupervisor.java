package io.burdockpin.entry.peer;

import java.time.Duration;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.entry.EntryException;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.cfg.PeerSettings;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkListener;
import io.burdockpin.runtime.link.LinkSettings;
import io.burdockpin.runtime.link.OutboundLink;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.ChildFailed;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Supervises the peer actor, the listener for other entry hosts and one link to each of
 * them.
 */
public final class PeerSupervisor extends AbstractBehavior<PeerCommand> {

	private static final SupervisorStrategy RESTART = SupervisorStrategy.restartWithBackoff(Duration.ofMillis(200),
			Duration.ofSeconds(10), 0.2);

	private final LinkSettings links;

	private final ActorRef<PeerCommand> peers;

	private final ActorRef<LinkListener.Command> listener;

	private PeerSupervisor(ActorContext<PeerCommand> context, EntryIdentity identity, EntrySettings settings,
			FrameCodec<PeerEnvelope> codec, LinkSettings links, ActorRef<RouterCommand> router,
			ActorRef<ControlCommand> control, MetricRegistry metrics) {
		super(context);
		this.links = links;
		this.peers = context.spawn(PeerActor.create(identity, settings, router, control, metrics), "peers");
		// A restart would lose the forwarded requests in flight, so the supervisor fails
		// with
		// it.
		context.watch(this.peers);
		this.listener = spawnListener(settings.peerAddress(), codec);
		settings.peers().forEach((peer) -> spawnLink(peer, codec));
	}

	// life cycle

	/**
	 * Creates the behavior of the supervisor.
	 * @param identity identity and clock of this entry host
	 * @param settings settings of this entry host
	 * @param codec codec of the peer protocol
	 * @param links settings of each link
	 * @param router receives forwarded requests and withdrawn keys
	 * @param control receives configurations of other entry hosts
	 * @param metrics counts late replies
	 * @return the behavior
	 */
	public static Behavior<PeerCommand> create(EntryIdentity identity, EntrySettings settings,
			FrameCodec<PeerEnvelope> codec, LinkSettings links, ActorRef<RouterCommand> router,
			ActorRef<ControlCommand> control, MetricRegistry metrics) {
		return Behaviors.setup(
				(context) -> new PeerSupervisor(context, identity, settings, codec, links, router, control, metrics));
	}

	@Override
	public Receive<PeerCommand> createReceive() {
		return newReceiveBuilder().onMessage(PeerCommand.EndLinks.class, this::onEndLinks)
			.onAnyMessage(this::onCommand)
			.onSignal(ChildFailed.class, this::onChildFailed)
			.build();
	}

	private Behavior<PeerCommand> onCommand(PeerCommand command) {
		this.peers.tell(command);
		return this;
	}

	private Behavior<PeerCommand> onEndLinks(PeerCommand.EndLinks command) {
		this.peers.tell(new PeerCommand.EndListener(this.listener, new LinkListener.Drain(command.replyTo())));
		return this;
	}

	private Behavior<PeerCommand> onChildFailed(ChildFailed failed) {
		throw new EntryException(failed.getRef().path().name() + " failed", failed.getCause());
	}

	// helpers

	private ActorRef<LinkListener.Command> spawnListener(AddressSettings address, FrameCodec<PeerEnvelope> codec) {
		Behavior<LinkListener.Command> behavior = LinkListener.create(PeerActor.LISTENER, address.socketAddress(),
				codec, PeerSupervisor::senderHost, this.links, linkEvents());
		return getContext().spawn(behavior, PeerActor.LISTENER);
	}

	private void spawnLink(PeerSettings peer, FrameCodec<PeerEnvelope> codec) {
		Behavior<LinkCommand<PeerEnvelope>> link = OutboundLink.create(peer.name(), peer.name(),
				peer.peerAddress().socketAddress(), codec, PeerSupervisor::senderHost, this.links, linkEvents());
		getContext().spawn(Behaviors.supervise(link).onFailure(RESTART), "link-" + peer.name());
	}

	private static String senderHost(PeerEnvelope envelope) {
		return envelope.sender().host().value();
	}

	@SuppressWarnings("unchecked")
	private ActorRef<LinkEvent<PeerEnvelope>> linkEvents() {
		Class<LinkEvent<PeerEnvelope>> type = (Class<LinkEvent<PeerEnvelope>>) (Class<?>) LinkEvent.class;
		return getContext().messageAdapter(type, PeerCommand.LinkEventReceived::new);
	}

}
