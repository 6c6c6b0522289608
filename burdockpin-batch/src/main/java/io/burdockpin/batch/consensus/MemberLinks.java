package io.burdockpin.batch.consensus;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
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
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the listener for members and one outgoing link to each other member. A connection
 * may fail without being closed while new connections still work. So the link to a member
 * that does not respond is reopened. The failed connection may also be the one in the
 * other direction, so a member whose incoming connection is replaced reopens its own link
 * too.
 */
public final class MemberLinks extends AbstractBehavior<MemberLinks.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration RESTART_MINIMUM = Duration.ofMillis(200);

	private static final Duration RESTART_MAXIMUM = Duration.ofSeconds(2);

	private static final double RESTART_RANDOM_FACTOR = 0.2;

	/**
	 * Ten heartbeats of a leader. Between other members, a timeout only reopens the link.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

	private final ConsensusSettings settings;

	private final MemberId self;

	private final ActorRef<ConsensusCommand> consensus;

	private final ActorRef<Failed> owner;

	private final ActorRef<LinkEvent<ConsensusEnvelope>> events;

	private final Map<String, MemberLink> links = new HashMap<>();

	/** The latest incoming connection of each member. */
	private final Map<String, String> incoming = new HashMap<>();

	/** Time of the first message to each member since the last contact with it. */
	private final Map<String, Long> unansweredSinceMillis = new HashMap<>();

	private final InstantSource clock;

	private long linkCount;

	private MemberLinks(ActorContext<Command> context, TimerScheduler<Command> timers, ConsensusSettings settings,
			MemberId self, ActorRef<ConsensusCommand> consensus, ActorRef<Failed> owner, InstantSource clock) {
		super(context);
		this.settings = settings;
		this.self = self;
		this.consensus = consensus;
		this.owner = owner;
		this.clock = clock;
		this.events = events();
		context.spawn(
				LinkListener.create("member", new InetSocketAddress(settings.host(), settings.memberPort()),
						new ThriftConsensusCodec(), MemberLinks::senderHost, settings.links(), this.events),
				"member-listener", DispatcherSelector.sameAsParent());
		settings.foundingHosts().forEach(this::ensureLink);
		consensus.tell(new ConsensusCommand.AttachLinks(context.getSelf()));
		timers.startTimerWithFixedDelay(CheckContacts.INSTANCE, Duration.ofMillis(RESPONSE_TIMEOUT_MILLIS / 2));
	}

	// life cycle

	static Behavior<Command> create(ConsensusSettings settings, MemberId self, ActorRef<ConsensusCommand> consensus,
			ActorRef<Failed> owner, InstantSource clock) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new MemberLinks(context, timers, settings, self, consensus, owner, clock)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Event.class, this::onEvent)
			.onMessage(Send.class, this::onSend)
			.onMessage(MembersChanged.class, this::onMembersChanged)
			.onMessageEquals(CheckContacts.INSTANCE, this::onCheckContacts)
			.build();
	}

	private Behavior<Command> onEvent(Event command) {
		if (command.event() instanceof LinkEvent.Received<ConsensusEnvelope> received) {
			onContact(senderHost(received.message()), received.link());
			this.consensus.tell(new ConsensusCommand.FromMember(received.message()));
		}
		else if (command.event() instanceof LinkEvent.BindFailed<ConsensusEnvelope> failed) {
			logger.atSevere().log("Failed to listen for members: %s.", failed.reason());
			this.owner.tell(new Failed(failed.reason()));
		}
		return this;
	}

	private Behavior<Command> onSend(Send command) {
		String host = command.envelope().receiver().host().value();
		ensureLink(host);
		this.unansweredSinceMillis.putIfAbsent(host, this.clock.millis());
		this.links.get(host).link().tell(new LinkCommand.Send<>(command.envelope()));
		return this;
	}

	private Behavior<Command> onMembersChanged(MembersChanged command) {
		command.membership().members().forEach((member) -> ensureLink(member.id().host().value()));
		return this;
	}

	private Behavior<Command> onCheckContacts() {
		long nowMillis = this.clock.millis();
		List.copyOf(this.links.keySet())
			.stream()
			.filter((host) -> isUnresponsive(host, nowMillis))
			.forEach(this::reopen);
		return this;
	}

	// helpers

	private boolean isUnresponsive(String host, long nowMillis) {
		// A link without unanswered messages is kept: followers exchange nothing until an
		// election, in which they need their links.
		return nowMillis - this.unansweredSinceMillis.getOrDefault(host, nowMillis) > RESPONSE_TIMEOUT_MILLIS;
	}

	private void onContact(String host, String connection) {
		this.unansweredSinceMillis.remove(host);
		String earlier = this.incoming.put(host, connection);
		// The first message of a member is no sign of a failure. It may be the first vote
		// request of an election, and its answer would be lost with the link.
		if (earlier != null && !connection.equals(earlier)) {
			reopen(host);
		}
	}

	private void reopen(String host) {
		MemberLink known = this.links.get(host);
		if (known != null && this.clock.millis() - known.openedMillis() > RESPONSE_TIMEOUT_MILLIS) {
			known.link().tell(new LinkCommand.Close<>());
			this.links.put(host, openLink(host));
			this.unansweredSinceMillis.remove(host);
		}
	}

	// Links to removed members are kept, so that one that lags behind can be reached.
	private void ensureLink(String host) {
		if (!host.equals(this.self.host().value())) {
			this.links.computeIfAbsent(host, this::openLink);
		}
	}

	private MemberLink openLink(String host) {
		this.linkCount++;
		Behavior<LinkCommand<ConsensusEnvelope>> link = OutboundLink.create("member " + host, host,
				new InetSocketAddress(host, this.settings.memberPort()), new ThriftConsensusCodec(),
				MemberLinks::senderHost, this.settings.links(), this.events);
		ActorRef<LinkCommand<ConsensusEnvelope>> opened = getContext().spawn(
				Behaviors.supervise(link)
					.onFailure(SupervisorStrategy.restartWithBackoff(RESTART_MINIMUM, RESTART_MAXIMUM,
							RESTART_RANDOM_FACTOR)),
				"member-link-" + this.linkCount, DispatcherSelector.sameAsParent());
		return new MemberLink(opened, this.clock.millis());
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

	/** Messages that the actor accepts. */
	public sealed interface Command {

	}

	/**
	 * Sends a message. It is dropped while the link is down.
	 *
	 * @param envelope the message and its receiver
	 */
	record Send(ConsensusEnvelope envelope) implements Command {

	}

	/**
	 * Opens links to new members.
	 *
	 * @param membership the new membership
	 */
	record MembersChanged(Membership membership) implements Command {

	}

	private enum CheckContacts implements Command {

		INSTANCE

	}

	private record MemberLink(ActorRef<LinkCommand<ConsensusEnvelope>> link, long openedMillis) {

	}

	private record Event(LinkEvent<ConsensusEnvelope> event) implements Command {

	}

	/**
	 * The listener failed to bind its address.
	 *
	 * @param reason the error message
	 */
	record Failed(String reason) {

	}

}
