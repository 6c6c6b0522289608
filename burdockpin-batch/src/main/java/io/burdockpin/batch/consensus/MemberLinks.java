package io.burdockpin.batch.consensus;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.thrift.impl.ThriftConsensusCodec;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkListener;
import io.burdockpin.runtime.link.OutboundLink;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Owns the listener for members and one outgoing link to each other member. */
public final class MemberLinks extends AbstractBehavior<MemberLinks.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration RESTART_MINIMUM = Duration.ofMillis(200);

	private static final Duration RESTART_MAXIMUM = Duration.ofSeconds(2);

	private final ConsensusSettings settings;

	private final MemberId self;

	private final ActorRef<ConsensusCommand> consensus;

	private final ActorRef<Failed> owner;

	private final ActorRef<LinkEvent<ConsensusEnvelope>> events;

	private final Map<String, ActorRef<LinkCommand<ConsensusEnvelope>>> links = new HashMap<>();

	private MemberLinks(ActorContext<Command> context, ConsensusSettings settings, MemberId self,
			ActorRef<ConsensusCommand> consensus, ActorRef<Failed> owner) {
		super(context);
		this.settings = settings;
		this.self = self;
		this.consensus = consensus;
		this.owner = owner;
		this.events = events();
		context.spawn(
				LinkListener.create("member", new InetSocketAddress(settings.host(), settings.memberPort()),
						new ThriftConsensusCodec(), MemberLinks::senderHost, settings.links(), this.events),
				"member-listener");
		settings.foundingHosts().forEach(this::link);
		consensus.tell(new ConsensusCommand.AttachLinks(context.getSelf()));
	}

	// life cycle

	static Behavior<Command> create(ConsensusSettings settings, MemberId self, ActorRef<ConsensusCommand> consensus,
			ActorRef<Failed> owner) {
		return Behaviors.setup((context) -> new MemberLinks(context, settings, self, consensus, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Event.class, this::onEvent)
			.onMessage(Send.class, this::onSend)
			.onMessage(MembersChanged.class, this::onMembersChanged)
			.build();
	}

	private Behavior<Command> onEvent(Event command) {
		if (command.event() instanceof LinkEvent.Received<ConsensusEnvelope> received) {
			this.consensus.tell(new ConsensusCommand.FromMember(received.message()));
		}
		else if (command.event() instanceof LinkEvent.BindFailed<ConsensusEnvelope> failed) {
			logger.atSevere().log("Cannot listen for members: %s.", failed.reason());
			this.owner.tell(new Failed(failed.reason()));
		}
		return this;
	}

	private Behavior<Command> onSend(Send command) {
		link(command.envelope().receiver().host().value());
		this.links.get(command.envelope().receiver().host().value()).tell(new LinkCommand.Send<>(command.envelope()));
		return this;
	}

	private Behavior<Command> onMembersChanged(MembersChanged command) {
		command.membership().members().forEach((member) -> link(member.id().host().value()));
		return this;
	}

	// helpers

	// A link to a removed member stays, so that a member that lags behind can be reached.
	private void link(String host) {
		if (!host.equals(this.self.host().value())) {
			this.links.computeIfAbsent(host, this::openLink);
		}
	}

	private ActorRef<LinkCommand<ConsensusEnvelope>> openLink(String host) {
		Behavior<LinkCommand<ConsensusEnvelope>> link = OutboundLink.create("member " + host, host,
				new InetSocketAddress(host, this.settings.memberPort()), new ThriftConsensusCodec(),
				MemberLinks::senderHost, this.settings.links(), this.events);
		return getContext().spawn(
				Behaviors.supervise(link)
					.onFailure(SupervisorStrategy.restartWithBackoff(RESTART_MINIMUM, RESTART_MAXIMUM, 0.2)),
				"member-link-" + host);
	}

	private static String senderHost(ConsensusEnvelope envelope) {
		return envelope.sender().host().value();
	}

	@SuppressWarnings("unchecked")
	private ActorRef<LinkEvent<ConsensusEnvelope>> events() {
		Class<LinkEvent<ConsensusEnvelope>> type = (Class<LinkEvent<ConsensusEnvelope>>) (Class<?>) LinkEvent.class;
		Function<LinkEvent<ConsensusEnvelope>, Command> wrap = Event::new;
		return getContext().messageAdapter(type, wrap::apply);
	}

	/** Messages of the links. */
	public sealed interface Command {

	}

	/**
	 * Sends a message. It is dropped while the link is down.
	 *
	 * @param envelope the message
	 */
	record Send(ConsensusEnvelope envelope) implements Command {

	}

	/**
	 * Opens links to new members.
	 *
	 * @param membership the members
	 */
	record MembersChanged(Membership membership) implements Command {

	}

	private record Event(LinkEvent<ConsensusEnvelope> event) implements Command {

	}

	/**
	 * The listener cannot bind its address.
	 *
	 * @param reason why
	 */
	record Failed(String reason) {

	}

}
