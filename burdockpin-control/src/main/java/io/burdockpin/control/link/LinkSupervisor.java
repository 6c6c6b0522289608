package io.burdockpin.control.link;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.thrift.impl.ThriftClientCodec;
import io.burdockpin.codec.thrift.impl.ThriftConsensusCodec;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
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

/**
 * Supervises the listeners for members and entry hosts, one link to each other member,
 * and one session for each connected entry host.
 */
public final class LinkSupervisor extends AbstractBehavior<LinkSupervisor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final LinkSupervisorSettings settings;

	private final MemberId self;

	private final ActorRef<ReplicaMessage> replica;

	private final ActorRef<PlannerReport> planner;

	private final ActorRef<Report> owner;

	private final Clock clock;

	private final ActorRef<LinkEvent<ConsensusEnvelope>> memberEvents;

	private final Map<HostName, MemberLink> memberLinks = new HashMap<>();

	private final Map<String, ActorRef<ClientSession.Command>> sessions = new HashMap<>();

	private int openListeners;

	private long linkCount;

	private Optional<ActorRef<Report>> ending = Optional.empty();

	private final Set<String> endingLinks = new HashSet<>();

	private LinkSupervisor(ActorContext<Command> context, LinkSupervisorSettings settings, MemberId self,
			ActorRef<ReplicaMessage> replica, ActorRef<PlannerReport> planner, ActorRef<Report> owner, Clock clock) {
		super(context);
		this.settings = settings;
		this.self = self;
		this.replica = replica;
		this.planner = planner;
		this.owner = owner;
		this.clock = clock;
		this.memberEvents = adapter(MemberEvent::new);
		ActorRef<LinkEvent<ClientEnvelope>> clientEvents = adapter(ClientEvent::new);
		context.spawn(LinkListener.create("member", settings.memberAddress(), new ThriftConsensusCodec(),
				LinkSupervisor::senderHost, settings.links(), this.memberEvents), "member-listener");
		context.spawn(
				LinkListener.create("client", settings.clientAddress(), new ThriftClientCodec(),
						(envelope) -> envelope.sender().host().value(), settings.links(), clientEvents),
				"client-listener");
		settings.knownMembers().members().forEach(this::ensureLink);
		replica.tell(new ReplicaMessage.AttachLinks(context.getSelf().narrow()));
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings addresses, members and link settings
	 * @param self the identity of this member
	 * @param replica receives the messages of members and entry hosts
	 * @param planner receives the reports of entry hosts
	 * @param owner receives the reports of this supervisor
	 * @param clock wall clock for timestamps
	 * @return the behavior of the supervisor
	 */
	public static Behavior<Command> create(LinkSupervisorSettings settings, MemberId self,
			ActorRef<ReplicaMessage> replica, ActorRef<PlannerReport> planner, ActorRef<Report> owner, Clock clock) {
		return Behaviors
			.setup((context) -> new LinkSupervisor(context, settings, self, replica, planner, owner, clock));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(MemberEvent.class, this::onMemberEvent)
			.onMessage(ClientEvent.class, this::onClientEvent)
			.onMessage(MemberLinkCommand.SendToMember.class, this::onSendToMember)
			.onMessage(MemberLinkCommand.MembersChanged.class, this::onMembersChanged)
			.onMessage(End.class, this::onEnd)
			.build();
	}

	// members

	private Behavior<Command> onMemberEvent(MemberEvent command) {
		LinkEvent<ConsensusEnvelope> event = command.event();
		onLinkEvent(event);
		if (event instanceof LinkEvent.Received<ConsensusEnvelope> received) {
			this.replica.tell(new ReplicaMessage.FromMember(received.message()));
		}
		else {
			onListenerEvent(event);
		}
		return this;
	}

	private Behavior<Command> onSendToMember(MemberLinkCommand.SendToMember command) {
		HostName host = command.envelope().receiver().host();
		Optional.ofNullable(this.memberLinks.get(host))
			.ifPresent((link) -> link.link().tell(new LinkCommand.Send<>(command.envelope())));
		return this;
	}

	private Behavior<Command> onMembersChanged(MemberLinkCommand.MembersChanged command) {
		command.membership().members().forEach(this::ensureLink);
		return this;
	}

	// The link to a removed member stays open, so that a member that has not yet applied
	// its removal can be reached.
	private void ensureLink(Member member) {
		HostName host = member.id().host();
		if (host.equals(this.self.host())) {
			return;
		}
		String address = this.settings.connectAddresses().getOrDefault(host, member.address());
		Optional<MemberLink> existing = Optional.ofNullable(this.memberLinks.get(host));
		if (existing.filter((link) -> link.address().equals(address)).isEmpty()) {
			existing.ifPresent((link) -> link.link().tell(new LinkCommand.Close<>()));
			this.memberLinks.put(host, new MemberLink(address, openLink(host, address)));
		}
	}

	private ActorRef<LinkCommand<ConsensusEnvelope>> openLink(HostName host, String address) {
		this.linkCount++;
		Behavior<LinkCommand<ConsensusEnvelope>> link = OutboundLink.create(linkName(host), host.value(),
				LinkSupervisorSettings.socketAddress(address), new ThriftConsensusCodec(), LinkSupervisor::senderHost,
				this.settings.links(), this.memberEvents);
		return getContext().spawn(Behaviors.supervise(link).onFailure(restart()), "member-link-" + this.linkCount);
	}

	// entry hosts

	private Behavior<Command> onClientEvent(ClientEvent command) {
		LinkEvent<ClientEnvelope> event = command.event();
		onLinkEvent(event);
		if (event instanceof LinkEvent.Connected<ClientEnvelope> connected) {
			onClientConnected(connected);
		}
		else if (event instanceof LinkEvent.Received<ClientEnvelope> received) {
			session(received.link())
				.ifPresent((session) -> session.tell(new ClientSession.Received(received.message())));
		}
		else if (event instanceof LinkEvent.Disconnected<ClientEnvelope> disconnected) {
			session(disconnected.link()).ifPresent((session) -> session.tell(ClientSession.Disconnected.INSTANCE));
			this.sessions.remove(disconnected.link());
		}
		else {
			onListenerEvent(event);
		}
		return this;
	}

	private void onClientConnected(LinkEvent.Connected<ClientEnvelope> connected) {
		if (this.ending.isPresent()) {
			connected.session().tell(new LinkCommand.Close<>());
		}
		else {
			this.sessions.put(connected.link(), openSession(connected));
		}
	}

	private ActorRef<ClientSession.Command> openSession(LinkEvent.Connected<ClientEnvelope> connected) {
		Holder sender = new Holder(this.self.host(), this.self.incarnation());
		return getContext().spawn(
				ClientSession.create(sender, connected.session(), this.replica, this.planner, this.clock),
				"session-" + connected.link());
	}

	private Optional<ActorRef<ClientSession.Command>> session(String link) {
		return Optional.ofNullable(this.sessions.get(link));
	}

	// end

	private Behavior<Command> onEnd(End command) {
		this.ending = Optional.of(command.replyTo());
		this.memberLinks.forEach((host, link) -> {
			this.endingLinks.add(linkName(host));
			link.link().tell(new LinkCommand.Drain<>());
		});
		this.sessions.forEach((link, session) -> {
			this.endingLinks.add(link);
			session.tell(ClientSession.End.INSTANCE);
		});
		reportEnded();
		return this;
	}

	private void onLinkEvent(LinkEvent<?> event) {
		if (event instanceof LinkEvent.Disconnected<?> disconnected && this.endingLinks.remove(disconnected.link())) {
			reportEnded();
		}
	}

	private void reportEnded() {
		if (this.endingLinks.isEmpty()) {
			this.ending.ifPresent((replyTo) -> replyTo.tell(new Ended()));
		}
	}

	private static String linkName(HostName host) {
		return "member " + host;
	}

	// helpers

	private static String senderHost(ConsensusEnvelope envelope) {
		return envelope.sender().host().value();
	}

	private void onListenerEvent(LinkEvent<?> event) {
		if (event instanceof LinkEvent.BindFailed<?> failed) {
			logger.atSevere().log("Cannot listen for %ss: %s.", failed.link(), failed.reason());
			this.owner.tell(new Failed(failed.reason()));
		}
		else if (event instanceof LinkEvent.Bound<?>) {
			this.openListeners++;
			if (this.openListeners == 2) {
				this.owner.tell(new Opened());
			}
		}
	}

	private SupervisorStrategy restart() {
		return SupervisorStrategy.restartWithBackoff(this.settings.restartMinimum(), this.settings.restartMaximum(),
				0.2);
	}

	@SuppressWarnings("unchecked")
	private <M> ActorRef<LinkEvent<M>> adapter(java.util.function.Function<LinkEvent<M>, Command> wrap) {
		Class<LinkEvent<M>> type = (Class<LinkEvent<M>>) (Class<?>) LinkEvent.class;
		return getContext().spawnAnonymous(Behaviors.receive(type).onAnyMessage((event) -> {
			getContext().getSelf().tell(wrap.apply(event));
			return Behaviors.same();
		}).build());
	}

	/** Messages of the supervisor. */
	public sealed interface Command permits MemberLinkCommand, MemberEvent, ClientEvent, End {

	}

	/**
	 * Closes all links after their queued messages are sent. New connections are closed
	 * at once.
	 *
	 * @param replyTo receives {@link Ended} when all peers have read their messages
	 */
	public record End(ActorRef<Report> replyTo) implements Command {

	}

	record MemberEvent(LinkEvent<ConsensusEnvelope> event) implements Command {

	}

	record ClientEvent(LinkEvent<ClientEnvelope> event) implements Command {

	}

	private record MemberLink(String address, ActorRef<LinkCommand<ConsensusEnvelope>> link) {

	}

	/** Messages from the supervisor to its owner. */
	public sealed interface Report {

	}

	/** All links are closed. */
	public record Ended() implements Report {

	}

	/** Both listeners accept connections. */
	public record Opened() implements Report {

	}

	/**
	 * A listener could not bind its address.
	 *
	 * @param reason message of the bind failure
	 */
	public record Failed(String reason) implements Report {

	}

}
