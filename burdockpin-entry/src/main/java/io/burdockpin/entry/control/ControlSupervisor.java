package io.burdockpin.entry.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.admission.ConfigurationFeed;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.client.CallEffect;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ControlCalls;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.model.HostName;
import io.burdockpin.entry.EntryException;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkSettings;
import io.burdockpin.runtime.link.OutboundLink;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.ChildFailed;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Supervises the configuration feed and one link to each control member, and matches
 * replies to calls by their correlation number.
 */
public final class ControlSupervisor extends AbstractBehavior<ControlCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration TICK = Duration.ofMillis(50);

	private static final SupervisorStrategy RESTART = SupervisorStrategy.restartWithBackoff(Duration.ofMillis(200),
			Duration.ofSeconds(10), 0.2);

	private final TimerScheduler<ControlCommand> timers;

	private final EntryIdentity identity;

	private final ControlCalls calls;

	private final LinkSettings links;

	private final HybridClock hybridClock = new HybridClock();

	private final Map<Long, ActorRef<CallResult>> callers = new HashMap<>();

	private final Map<HostName, ActorRef<LinkCommand<ClientEnvelope>>> sessions = new HashMap<>();

	private final ActorRef<ConfigurationActor.Command> configuration;

	private final List<ActorRef<TokenGrants>> grantSubscribers = new ArrayList<>();

	private long lastCorrelation;

	private ControlSupervisor(ActorContext<ControlCommand> context, TimerScheduler<ControlCommand> timers,
			EntryIdentity identity, List<MemberSettings> members, FrameCodec<ClientEnvelope> codec, LinkSettings links,
			Optional<ConfigurationCache> cache) {
		super(context);
		this.links = links;
		this.timers = timers;
		this.identity = identity;
		List<HostName> names = members.stream().map((member) -> new HostName(member.name())).toList();
		this.calls = new ControlCalls(names);
		ConfigurationFeed feed = new ConfigurationFeed(names, identity.self().dataCentre());
		Optional<ActorRef<ConfigurationView>> cacheActor = cache.map((owned) -> context
			.spawn(CacheActor.create(owned, context.getSelf()), "cache", DispatcherSelector.blocking()));
		this.configuration = context.spawn(ConfigurationActor.create(feed, identity, context.getSelf(), cacheActor),
				"configuration");
		// A restart would lose the subscribers, so the supervisor and the process fail
		// with
		// it.
		context.watch(this.configuration);
		members.forEach((member) -> spawnLink(member, codec));
	}

	// life cycle

	/**
	 * Creates the behavior of the supervisor.
	 * @param identity identity and clock of this entry host
	 * @param members the control members, nearest first
	 * @param codec codec of the protocol with the control members
	 * @param links settings of each link
	 * @param cacheFolder folder of the configuration cache; empty if nothing is cached
	 * @param cacheCodec codec of the cached configuration
	 * @return the behavior
	 */
	public static Behavior<ControlCommand> create(EntryIdentity identity, List<MemberSettings> members,
			FrameCodec<ClientEnvelope> codec, LinkSettings links, Optional<Path> cacheFolder,
			FrameCodec<PeerEnvelope> cacheCodec) {
		Optional<ConfigurationCache> cache = cacheFolder
			.map((folder) -> new ConfigurationCache(folder, identity.holder(), cacheCodec));
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new ControlSupervisor(context, timers, identity, members, codec, links, cache)));
	}

	@Override
	public Receive<ControlCommand> createReceive() {
		return newReceiveBuilder().onMessage(ControlCommand.Call.class, this::onCall)
			.onMessage(ControlCommand.SendTo.class, this::onSendTo)
			.onMessage(ControlCommand.Subscribe.class, this::onSubscribe)
			.onMessage(ControlCommand.ConfirmConfiguration.class, this::onConfirmConfiguration)
			.onMessage(ControlCommand.SubscribeGrants.class, this::onSubscribeGrants)
			.onMessage(ControlCommand.OfferConfiguration.class, this::onOfferConfiguration)
			.onMessage(ControlCommand.LinkEventReceived.class, (command) -> onLinkEvent(command.event()))
			.onMessage(ControlCommand.Tick.class, (tick) -> execute(this.calls.tick(this.identity.nowMillis())))
			.onSignal(ChildFailed.class, this::onChildFailed)
			.build();
	}

	private Behavior<ControlCommand> onCall(ControlCommand.Call call) {
		long correlation = ++this.lastCorrelation;
		this.callers.put(correlation, call.replyTo());
		return execute(this.calls.start(correlation, call.message().apply(correlation),
				this.identity.nowMillis() + call.timeoutMillis()));
	}

	private Behavior<ControlCommand> onSendTo(ControlCommand.SendTo command) {
		send(command.member(), command.message());
		return this;
	}

	private Behavior<ControlCommand> onSubscribe(ControlCommand.Subscribe command) {
		this.configuration.tell(new ConfigurationActor.Subscribed(command.subscriber()));
		return this;
	}

	private Behavior<ControlCommand> onConfirmConfiguration(ControlCommand.ConfirmConfiguration command) {
		this.configuration.tell(new ConfigurationActor.Paused(command.pause()));
		return this;
	}

	private Behavior<ControlCommand> onSubscribeGrants(ControlCommand.SubscribeGrants command) {
		this.grantSubscribers.add(command.subscriber());
		return this;
	}

	private Behavior<ControlCommand> onOfferConfiguration(ControlCommand.OfferConfiguration command) {
		this.configuration.tell(new ConfigurationActor.Offered(command.configuration()));
		return this;
	}

	private Behavior<ControlCommand> onLinkEvent(LinkEvent<ClientEnvelope> event) {
		HostName member = new HostName(event.link());
		if (event instanceof LinkEvent.Connected<ClientEnvelope> connected) {
			this.sessions.put(member, connected.session());
			this.configuration.tell(new ConfigurationActor.Connected(member));
			return execute(this.calls.onConnected(member));
		}
		if (event instanceof LinkEvent.Received<ClientEnvelope> received) {
			return onReceived(member, received.message());
		}
		if (event instanceof LinkEvent.Disconnected<ClientEnvelope>) {
			this.sessions.remove(member);
			this.configuration.tell(new ConfigurationActor.Disconnected(member));
			return execute(this.calls.onDisconnected(member));
		}
		return this;
	}

	private Behavior<ControlCommand> onReceived(HostName member, ClientEnvelope envelope) {
		this.hybridClock.merge(envelope.timestamp());
		ClientMessage message = envelope.message();
		Optional<Long> correlation = ReplyCorrelation.of(message);
		if (correlation.isPresent()) {
			return execute(this.calls.onReply(member, correlation.get(), message));
		}
		if (message instanceof TokenGrants grants) {
			this.grantSubscribers.forEach((subscriber) -> subscriber.tell(grants));
			return this;
		}
		this.configuration.tell(new ConfigurationActor.Received(member, message));
		if (message instanceof ClientMessage.FeedHeartbeat heartbeat) {
			return execute(this.calls.onLeaderReported(heartbeat.leader()));
		}
		return this;
	}

	private Behavior<ControlCommand> onChildFailed(ChildFailed failed) {
		throw new EntryException(failed.getRef().path().name() + " failed", failed.getCause());
	}

	// helpers

	private void spawnLink(MemberSettings member, FrameCodec<ClientEnvelope> codec) {
		@SuppressWarnings("unchecked")
		Class<LinkEvent<ClientEnvelope>> eventType = (Class<LinkEvent<ClientEnvelope>>) (Class<?>) LinkEvent.class;
		ActorRef<LinkEvent<ClientEnvelope>> events = getContext().messageAdapter(eventType,
				ControlCommand.LinkEventReceived::new);
		Behavior<LinkCommand<ClientEnvelope>> link = OutboundLink.create(member.name(), member.name(),
				member.clientAddress().socketAddress(), codec, (envelope) -> envelope.sender().host().value(),
				this.links, events);
		getContext().spawn(Behaviors.supervise(link).onFailure(RESTART), "link-" + member.name());
	}

	private Behavior<ControlCommand> execute(List<CallEffect> effects) {
		for (CallEffect effect : effects) {
			if (effect instanceof CallEffect.Send send) {
				send(send.member(), send.message());
			}
			else if (effect instanceof CallEffect.Finish finish) {
				Optional.ofNullable(this.callers.remove(finish.correlation()))
					.ifPresent((caller) -> caller.tell(finish.result()));
			}
		}
		tickWhilePending();
		return this;
	}

	// Without a pending call, no deadline can pass.
	private void tickWhilePending() {
		boolean pending = this.calls.pendingCount() > 0;
		if (!pending) {
			this.timers.cancel(ControlCommand.Tick.INSTANCE);
		}
		else if (!this.timers.isTimerActive(ControlCommand.Tick.INSTANCE)) {
			this.timers.startTimerWithFixedDelay(ControlCommand.Tick.INSTANCE, TICK);
		}
	}

	private void send(HostName member, ClientMessage message) {
		ActorRef<LinkCommand<ClientEnvelope>> session = this.sessions.get(member);
		if (session == null) {
			logger.atFine().log("Dropped a message to control member %s, which is not connected.", member);
			return;
		}
		ClientEnvelope envelope = new ClientEnvelope(this.identity.holder(),
				this.hybridClock.tick(this.identity.nowMillis()), message);
		session.tell(new LinkCommand.Send<>(envelope));
	}

}
