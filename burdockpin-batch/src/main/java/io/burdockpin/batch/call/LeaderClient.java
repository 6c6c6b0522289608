package io.burdockpin.batch.call;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.batch.scheduler.SchedulerCommand;
import io.burdockpin.codec.cbor.CborCallCodec;
import io.burdockpin.core.batch.call.CallMessage;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.call.LeaderSearch;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.OutboundLink;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Finds the leader of the control group and sends calls to it until each is answered or
 * times out. Pending calls are sent again when the leader changes or does not respond, so
 * all calls must be idempotent.
 */
public final class LeaderClient extends AbstractBehavior<LeaderClientCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final TimerScheduler<LeaderClientCommand> timers;

	private final CallSettings settings;

	private final Optional<ActorRef<SchedulerCommand>> localScheduler;

	private final CallEvents events;

	private final InstantSource clock;

	private final LeaderSearch search;

	private final Map<String, MemberLink> links = new HashMap<>();

	private final Map<Long, PendingCall> calls = new LinkedHashMap<>();

	private long lastCorrelation;

	private long generation;

	private long lastCheckMillis;

	private boolean draining;

	private LeaderClient(ActorContext<LeaderClientCommand> context, TimerScheduler<LeaderClientCommand> timers,
			CallSettings settings, Optional<ActorRef<SchedulerCommand>> localScheduler, CallEvents events,
			InstantSource clock) {
		super(context);
		this.timers = timers;
		this.settings = settings;
		this.localScheduler = localScheduler;
		this.events = events;
		this.clock = clock;
		Set<String> members = new LinkedHashSet<>(settings.seedHosts());
		localScheduler.ifPresent((member) -> members.add(settings.host()));
		this.search = new LeaderSearch(members, settings.responseTimeoutMillis(), settings.leaderWaitMillis(),
				clock.millis());
		timers.startTimerWithFixedDelay(LeaderClientCommand.Timer.TICK,
				Duration.ofMillis(settings.tickIntervalMillis()));
		switchTo(this.search.target());
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings the known members, the timeouts and the settings of the links
	 * @param localScheduler the scheduler of the control member in this process; empty in
	 * other processes
	 * @param eventLog receives events about calls and the leader
	 * @param clock a clock that follows the monotonic clock
	 * @return the behavior of the client
	 */
	public static Behavior<LeaderClientCommand> create(CallSettings settings,
			Optional<ActorRef<SchedulerCommand>> localScheduler, ActorRef<EventLog.Command> eventLog,
			InstantSource clock) {
		CallEvents events = new CallEvents(eventLog, Clock.systemUTC());
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new LeaderClient(context, timers, settings, localScheduler, events, clock)));
	}

	@Override
	public Receive<LeaderClientCommand> createReceive() {
		return newReceiveBuilder().onMessage(LeaderClientCommand.Ask.class, this::onAsk)
			.onMessage(LeaderClientCommand.IsReady.class, this::onIsReady)
			.onMessage(LeaderClientCommand.AddMembers.class, this::onAddMembers)
			.onMessage(LeaderClientCommand.FromLink.class, this::onFromLink)
			.onMessage(LeaderClientCommand.FromLocal.class, this::onFromLocal)
			.onMessageEquals(LeaderClientCommand.Drain.INSTANCE, this::onDrain)
			.onMessageEquals(LeaderClientCommand.Timer.TICK, this::onTick)
			.build();
	}

	private Behavior<LeaderClientCommand> onAsk(LeaderClientCommand.Ask command) {
		open(command.call(), command.timeoutMillis(), command.replyTo());
		return this;
	}

	private Behavior<LeaderClientCommand> onIsReady(LeaderClientCommand.IsReady command) {
		command.replyTo().tell(this.search.isReady(this.clock.millis()) && !this.draining);
		return this;
	}

	private Behavior<LeaderClientCommand> onDrain() {
		this.draining = true;
		return this;
	}

	private Behavior<LeaderClientCommand> onAddMembers(LeaderClientCommand.AddMembers command) {
		this.search.addMembers(command.hosts());
		return this;
	}

	private Behavior<LeaderClientCommand> onFromLink(LeaderClientCommand.FromLink command) {
		boolean isCurrent = Optional.ofNullable(this.links.get(command.host()))
			.filter((link) -> link.generation() == command.generation())
			.isPresent();
		if (!isCurrent) {
			return this;
		}
		if (command.event() instanceof LinkEvent.Received<CallMessage> received
				&& received.message() instanceof CallMessage.Reply reply) {
			onReply(command.host(), reply.correlation(), reply.reply());
		}
		else if (command.event() instanceof LinkEvent.Connected<CallMessage>) {
			this.links.computeIfPresent(command.host(), (host, link) -> link.withConnected(true));
			this.search.onConnected(command.host(), this.clock.millis());
			if (this.search.target().equals(command.host())) {
				resendAll(command.host());
			}
		}
		else if (command.event() instanceof LinkEvent.Disconnected<CallMessage>) {
			onDisconnected(command.host());
		}
		return this;
	}

	private Behavior<LeaderClientCommand> onFromLocal(LeaderClientCommand.FromLocal command) {
		onReply(this.settings.host(), command.correlation(), command.reply());
		return this;
	}

	private Behavior<LeaderClientCommand> onTick() {
		long nowMillis = this.clock.millis();
		List<Long> overdue = this.calls.entrySet()
			.stream()
			.filter((entry) -> nowMillis >= entry.getValue().deadlineMillis())
			.map(Map.Entry::getKey)
			.toList();
		overdue.forEach(this::abandon);
		this.search.onTick(nowMillis).ifPresent(this::onTargetChange);
		if (this.search.isLeaderUnavailable(nowMillis)) {
			List.copyOf(this.calls.keySet())
				.stream()
				.filter((correlation) -> !(this.calls.get(correlation).call() instanceof FleetCall.Check))
				.forEach(this::abandon);
		}
		boolean isCheckDue = nowMillis - this.lastCheckMillis >= this.settings.checkIntervalMillis();
		boolean isContactOld = this.search.isContactOlderThan(this.settings.checkIntervalMillis(), nowMillis);
		if (isCheckDue && (isContactOld || !this.search.isReady(nowMillis))) {
			this.lastCheckMillis = nowMillis;
			open(new FleetCall.Check(), this.settings.responseTimeoutMillis(), ReplyPort.NONE);
		}
		return this;
	}

	// calls

	private void open(FleetCall call, long timeoutMillis, ReplyPort replyTo) {
		this.lastCorrelation++;
		PendingCall opened = new PendingCall(call, replyTo, this.clock.millis(), timeoutMillis);
		this.calls.put(this.lastCorrelation, opened);
		long correlation = this.lastCorrelation;
		boolean isLeaderUnavailable = this.search.isLeaderUnavailable(this.clock.millis())
				&& !(call instanceof FleetCall.Check);
		if (isLeaderUnavailable || timeoutMillis <= 0) {
			abandon(correlation);
		}
		else {
			boolean isForLocalMember = this.localScheduler.isPresent() && call.isAnsweredByFollowers();
			send(isForLocalMember ? this.settings.host() : this.search.target(), correlation, opened);
		}
	}

	private void onReply(String host, long correlation, FleetReply reply) {
		if (reply instanceof FleetReply.NotLeader notLeader) {
			onNotLeader(host, correlation, notLeader);
			return;
		}
		if (reply instanceof FleetReply.Unknown) {
			Optional.ofNullable(this.calls.get(correlation)).ifPresent((call) -> send(host, correlation, call));
			return;
		}
		if (reply instanceof FleetReply.Leads leads) {
			this.search.addMembers(leads.members());
		}
		boolean isFromLeader = reply instanceof FleetReply.Leads || Optional.ofNullable(this.calls.get(correlation))
			.filter((call) -> !call.call().isAnsweredByFollowers())
			.isPresent();
		finish(correlation, reply);
		if (isFromLeader && this.search.onLeaderResponse(host, this.clock.millis())) {
			onLeaderFound(host);
		}
	}

	private void onLeaderFound(String host) {
		logger.atInfo().log("The leader is %s.", host);
		this.events.leaderFound(host);
		// Calls that the member rejected before its election have to be sent to it again.
		List.copyOf(this.calls.entrySet())
			.stream()
			.filter((entry) -> !entry.getValue().isAwaitingReplyFrom(host))
			.forEach((entry) -> send(host, entry.getKey(), entry.getValue()));
	}

	private void onNotLeader(String host, long correlation, FleetReply.NotLeader reply) {
		this.search.addMembers(reply.members());
		Optional.ofNullable(this.calls.get(correlation)).ifPresent(PendingCall::onRejected);
		if (this.search.target().equals(host)) {
			this.search.onNotLeader(host, reply.leader(), this.clock.millis()).ifPresent(this::onTargetChange);
		}
		else {
			String target = this.search.target();
			Optional.ofNullable(this.calls.get(correlation))
				.filter((call) -> !call.isAwaitingReplyFrom(target))
				.ifPresent((call) -> send(target, correlation, call));
		}
	}

	private void abandon(long correlation) {
		finish(correlation,
				this.calls.get(correlation).failureReply(this.search.leaderlessMillis(this.clock.millis())));
	}

	private void finish(long correlation, FleetReply reply) {
		Optional.ofNullable(this.calls.remove(correlation)).ifPresent((call) -> {
			FleetReply truthful = call.truthful(reply);
			call.replyTo().send(truthful);
			this.events.replied(call.call(), truthful, this.clock.millis() - call.openedMillis(),
					call.unansweredSends());
		});
	}

	// connection to the leader

	private void onDisconnected(String host) {
		this.links.computeIfPresent(host, (name, link) -> link.withConnected(false));
		this.search.onDisconnected(host, this.clock.millis()).ifPresent(this::onTargetChange);
	}

	private void onTargetChange(LeaderSearch.TargetChange change) {
		change.failure().ifPresent(this::reportFailure);
		change.connectionsToClose().forEach(this::closeLink);
		switchTo(change.host());
	}

	private void reportFailure(LeaderSearch.Failure failure) {
		if (failure.wasLeader()) {
			logger.atWarning().log("Leader %s %s.", failure.host(), failure.reason());
			this.events.leaderLost(failure.host(), failure.reason());
		}
		else {
			this.events.leaderNotFound(failure.host(), failure.reason(), this.search.failureCount());
		}
	}

	private void switchTo(String host) {
		this.lastCheckMillis = 0;
		if (!isLocal(host)) {
			this.links.computeIfAbsent(host, this::openLink);
		}
		resendAll(host);
	}

	private void resendAll(String host) {
		List.copyOf(this.calls.entrySet()).forEach((entry) -> send(host, entry.getKey(), entry.getValue()));
	}

	private void send(String host, long correlation, PendingCall call) {
		if (isLocal(host)) {
			call.onSent(host);
			ActorRef<LeaderClientCommand> self = getContext().getSelf();
			this.localScheduler.get()
				.tell(new SchedulerCommand.Call(call.call(),
						(reply) -> self.tell(new LeaderClientCommand.FromLocal(correlation, reply))));
			return;
		}
		MemberLink link = this.links.get(host);
		if (link != null && link.connected()) {
			call.onSent(host);
			link.link().tell(new LinkCommand.Send<>(new CallMessage.Call(correlation, call.call())));
		}
	}

	private boolean isLocal(String host) {
		return this.localScheduler.isPresent() && host.equals(this.settings.host());
	}

	private void closeLink(String host) {
		Optional.ofNullable(this.links.remove(host)).ifPresent((link) -> link.link().tell(new LinkCommand.Close<>()));
	}

	@SuppressWarnings("unchecked")
	private MemberLink openLink(String host) {
		this.generation++;
		long number = this.generation;
		Class<LinkEvent<CallMessage>> type = (Class<LinkEvent<CallMessage>>) (Class<?>) LinkEvent.class;
		ActorRef<LeaderClientCommand> self = getContext().getSelf();
		ActorRef<LinkEvent<CallMessage>> events = getContext().spawn(Behaviors.receive(type).onAnyMessage((event) -> {
			self.tell(new LeaderClientCommand.FromLink(host, number, event));
			return Behaviors.same();
		}).build(), "events-" + number, DispatcherSelector.sameAsParent());
		ActorRef<LinkCommand<CallMessage>> link = getContext().spawn(
				OutboundLink.create("leader " + host, host, new InetSocketAddress(host, this.settings.callPort()),
						new CborCallCodec(), (message) -> host, this.settings.links(), events),
				"link-" + number, DispatcherSelector.sameAsParent());
		return new MemberLink(link, number, false);
	}

	private record MemberLink(ActorRef<LinkCommand<CallMessage>> link, long generation, boolean connected) {

		private MemberLink withConnected(boolean isConnected) {
			return new MemberLink(this.link, this.generation, isConnected);
		}

	}

}
