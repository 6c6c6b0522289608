package io.burdockpin.entry.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.membership.PeerStatusSender;
import io.burdockpin.core.membership.PeerTable;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.router.ForwardReplySender;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.StartupException;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Exchanges status, requests and withdrawn keys with the other entry hosts. Requests are
 * sent on the links that this host opened, and their replies arrive on the same
 * connection. When a connection is lost, the outcome is unknown for exactly the requests
 * sent on it.
 */
final class PeerActor extends AbstractBehavior<PeerCommand> {

	static final String LISTENER = "peer-listener";

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long CONFIRMATION_TIMEOUT_MILLIS = 1000;

	private final EntryIdentity identity;

	private final PeerTable table;

	private final long peerTimeoutMillis;

	private final ActorRef<RouterCommand> router;

	private final ActorRef<ControlCommand> control;

	private final HybridClock hybridClock = new HybridClock();

	private final Map<HostName, ActorRef<LinkCommand<PeerEnvelope>>> sessions = new HashMap<>();

	private final Map<HostName, PeerStatusSender> statusSenders = new HashMap<>();

	private final Map<Long, Forwarded> forwards = new HashMap<>();

	private final List<Withdrawal> withdrawals = new ArrayList<>();

	private final List<ActorRef<PeerView>> subscribers = new ArrayList<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private Optional<PeerView> published = Optional.empty();

	private final MetricRegistry metrics;

	private PeerActor(ActorContext<PeerCommand> context, EntryIdentity identity, EntrySettings settings,
			ActorRef<RouterCommand> router, ActorRef<ControlCommand> control, MetricRegistry metrics) {
		super(context);
		this.identity = identity;
		this.peerTimeoutMillis = settings.timing().peerSilentMillis();
		this.table = new PeerTable(identity.self(), settings.peerInfos(), this.peerTimeoutMillis);
		this.router = router;
		this.control = control;
		this.metrics = metrics;
		control.tell(new ControlCommand.Subscribe(
				context.messageAdapter(ConfigurationEvent.class, PeerCommand.ConfigurationEventReceived::new)));
	}

	// life cycle

	static Behavior<PeerCommand> create(EntryIdentity identity, EntrySettings settings, ActorRef<RouterCommand> router,
			ActorRef<ControlCommand> control, MetricRegistry metrics) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(PeerCommand.Tick.INSTANCE, Duration.ZERO,
					Duration.ofMillis(settings.timing().peerStatusMillis()));
			return new PeerActor(context, identity, settings, router, control, metrics);
		}));
	}

	@Override
	public Receive<PeerCommand> createReceive() {
		return newReceiveBuilder().onMessage(PeerCommand.Forward.class, this::onForward)
			.onMessage(PeerCommand.CancelForward.class, this::onCancelForward)
			.onMessage(PeerCommand.SendAnswer.class, this::onSendAnswer)
			.onMessage(PeerCommand.EndListener.class, this::onEndListener)
			.onMessage(PeerCommand.WithdrawKey.class, this::onWithdrawKey)
			.onMessage(PeerCommand.Subscribe.class, this::onSubscribe)
			.onMessage(PeerCommand.LinkEventReceived.class, (command) -> onLinkEvent(command.event()))
			.onMessage(PeerCommand.ConfigurationEventReceived.class, (command) -> onConfigurationEvent(command.event()))
			.onMessage(PeerCommand.StatusReceived.class, this::onStatusReceived)
			.onMessage(PeerCommand.Tick.class, (command) -> onTick())
			.build();
	}

	// requests to other entry hosts

	private Behavior<PeerCommand> onForward(PeerCommand.Forward command) {
		if (!this.sessions.containsKey(command.host())) {
			command.replyTo()
				.tell(AttemptResult.notRun(ErrorCode.CONNECTION_FAILED,
						"no connection to entry host " + command.host()));
			return this;
		}
		this.forwards.put(command.request().attempt(), new Forwarded(command.host(), command.replyTo()));
		send(command.host(), command.request()
			.withReceiverDeadline(this.table.deadlineAt(command.host(), command.deadlineMillis())));
		return this;
	}

	private Behavior<PeerCommand> onCancelForward(PeerCommand.CancelForward command) {
		Forwarded forwarded = this.forwards.remove(command.attempt());
		if (forwarded != null) {
			send(forwarded.host(), new PeerMessage.CancelForward(command.attempt()));
			forwarded.replyTo()
				.tell(AttemptResult.unknown(ErrorCode.DEADLINE_EXCEEDED,
						"entry host " + forwarded.host() + " did not reply in time"));
		}
		return this;
	}

	private void onAnswer(HostName host, PeerMessage.ForwardAnswer answer) {
		Forwarded forwarded = this.forwards.get(answer.attempt());
		boolean expected = forwarded != null && forwarded.host().equals(host)
				&& answer.senderIncarnation() == this.identity.holder().incarnation();
		if (!expected) {
			this.metrics.increment(Metric.LATE_ANSWERS);
			logger.atFine().log("Dropped a reply to unknown attempt %d.", answer.attempt());
			return;
		}
		this.forwards.remove(answer.attempt());
		forwarded.replyTo().tell(result(answer));
	}

	private static AttemptResult result(PeerMessage.ForwardAnswer answer) {
		return switch (answer.outcome()) {
			case RAN -> AttemptResult.ran(new RunnerResponse(answer.status(), answer.contentType(), answer.body()));
			case NOT_RUN -> AttemptResult.notRun(answer.code(), answer.message());
			case UNKNOWN -> AttemptResult.unknown(answer.code(), answer.message());
		};
	}

	// requests from other entry hosts

	private Behavior<PeerCommand> onSendAnswer(PeerCommand.SendAnswer command) {
		command.session().tell(new LinkCommand.Send<>(envelope(command.answer())));
		return this;
	}

	// Messages are handled in order, so all earlier replies were already sent to their
	// links.
	private Behavior<PeerCommand> onEndListener(PeerCommand.EndListener command) {
		command.listener().tell(command.end());
		return this;
	}

	// withdrawn keys

	private Behavior<PeerCommand> onWithdrawKey(PeerCommand.WithdrawKey command) {
		this.table.addWithdrawnKeys(List.of(command.keyHash()));
		this.withdrawals.add(new Withdrawal(command.keyHash(), this.identity.nowMillis() + CONFIRMATION_TIMEOUT_MILLIS,
				command.replyTo()));
		this.sessions.keySet().forEach(this::sendUnconfirmedKeys);
		completeWithdrawals();
		return this;
	}

	private void onKeysWithdrawn(LinkEvent.Received<PeerEnvelope> received, PeerMessage.KeyWithdrawn message) {
		// Keeps the keys, so that a sender that restarts before its proposal is accepted
		// receives them again from this host.
		this.table.addWithdrawnKeys(message.keyHashes());
		this.table.onKeysConfirmed(received.message().sender().host(), message.keyHashes());
		// Acknowledges the keys only after the router no longer accepts them.
		PeerCommand.SendAnswer answer = new PeerCommand.SendAnswer(received.session(),
				new PeerMessage.KeyWithdrawnAcknowledged(message.keyHashes()));
		getContext().ask(Done.class, this.router, Duration.ofSeconds(1),
				(ActorRef<Done> replyTo) -> new RouterCommand.WithdrawKeys(message.keyHashes(), replyTo),
				(done, failure) -> (failure != null) ? PeerCommand.Tick.INSTANCE : answer);
	}

	private void completeWithdrawals() {
		long nowMillis = this.identity.nowMillis();
		for (Withdrawal withdrawal : List.copyOf(this.withdrawals)) {
			List<DataCentre> unconfirmed = this.table.unconfirmedDataCentres(withdrawal.keyHash());
			if (unconfirmed.isEmpty() || withdrawal.deadlineMillis() <= nowMillis) {
				withdrawal.replyTo().tell(unconfirmed);
				this.withdrawals.remove(withdrawal);
			}
		}
	}

	private void sendUnconfirmedKeys(HostName host) {
		List<KeyHash> keys = this.table.unconfirmedKeys(host);
		if (!keys.isEmpty()) {
			send(host, new PeerMessage.KeyWithdrawn(keys));
		}
	}

	// links

	private Behavior<PeerCommand> onLinkEvent(LinkEvent<PeerEnvelope> event) {
		if (event instanceof LinkEvent.BindFailed<PeerEnvelope> failed) {
			throw new StartupException(ExitStatus.ADDRESS_UNAVAILABLE, ErrorCode.CONNECTION_FAILED,
					"cannot bind the peer address: " + failed.reason(), null);
		}
		if (event instanceof LinkEvent.Received<PeerEnvelope> received) {
			onReceived(received);
		}
		else if (!event.link().startsWith(LISTENER)) {
			onOutboundLinkEvent(event);
		}
		return this;
	}

	private void onOutboundLinkEvent(LinkEvent<PeerEnvelope> event) {
		HostName host = new HostName(event.link());
		if (event instanceof LinkEvent.Connected<PeerEnvelope> connected) {
			this.sessions.put(host, connected.session());
			this.statusSenders.computeIfAbsent(host, (name) -> new PeerStatusSender(this.peerTimeoutMillis))
				.onConnected();
			this.table.onLinkChange(host, true);
			send(host, new PeerMessage.AskConfiguration(this.configuration.index()));
			sendUnconfirmedKeys(host);
		}
		else if (event instanceof LinkEvent.Disconnected<PeerEnvelope>) {
			this.sessions.remove(host);
			this.table.onLinkChange(host, false);
			publish();
			failForwards(host);
		}
	}

	private void failForwards(HostName host) {
		List<Long> lost = this.forwards.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().host().equals(host))
			.map(Map.Entry::getKey)
			.toList();
		for (Long attempt : lost) {
			this.forwards.remove(attempt)
				.replyTo()
				.tell(AttemptResult.unknown(ErrorCode.CONNECTION_FAILED,
						"the connection to entry host " + host + " was lost"));
		}
	}

	private void onReceived(LinkEvent.Received<PeerEnvelope> received) {
		PeerEnvelope envelope = received.message();
		this.hybridClock.merge(envelope.timestamp());
		Holder sender = envelope.sender();
		PeerMessage message = envelope.message();
		if (message instanceof PeerMessage.PeerStatus status) {
			onStatus(sender, status);
		}
		else if (message instanceof PeerMessage.PeerStatusChange change) {
			onStatusChange(sender, change);
		}
		else if (message instanceof PeerMessage.ForwardRequest request) {
			Optional.ofNullable(this.statusSenders.get(sender.host())).ifPresent(PeerStatusSender::onRequestAccepted);
			this.router.tell(new RouterCommand.SubmitForwarded(request, sender,
					new ForwardReplySender(getContext().getSelf(), received.session())));
		}
		else if (message instanceof PeerMessage.ForwardAnswer answer) {
			onAnswer(sender.host(), answer);
		}
		else if (message instanceof PeerMessage.CancelForward cancel) {
			this.router.tell(new RouterCommand.CancelForwarded(cancel.attempt(), sender));
		}
		else if (message instanceof PeerMessage.KeyWithdrawn withdrawn) {
			onKeysWithdrawn(received, withdrawn);
		}
		else if (message instanceof PeerMessage.KeyWithdrawnAcknowledged acknowledged) {
			this.table.onKeysConfirmed(sender.host(), acknowledged.keyHashes());
			completeWithdrawals();
		}
		else if (message instanceof PeerMessage.AskConfiguration ask) {
			onAskConfiguration(received, ask);
		}
		else if (message instanceof PeerMessage.ConfigurationKnown known) {
			this.control.tell(new ControlCommand.OfferConfiguration(ConfigurationView.of(known.configuration())));
		}
	}

	private void onAskConfiguration(LinkEvent.Received<PeerEnvelope> received, PeerMessage.AskConfiguration ask) {
		if (this.configuration.index() > ask.appliedIndex()) {
			received.session()
				.tell(new LinkCommand.Send<>(
						envelope(new PeerMessage.ConfigurationKnown(this.configuration.snapshot()))));
		}
	}

	// status

	private Behavior<PeerCommand> onTick() {
		this.router.tell(new RouterCommand.ReportStatus(
				getContext().messageAdapter(RouterCommand.RouterStatus.class, PeerCommand.StatusReceived::new)));
		completeWithdrawals();
		publish();
		return this;
	}

	private Behavior<PeerCommand> onStatusReceived(PeerCommand.StatusReceived command) {
		long nowMillis = this.identity.nowMillis();
		for (HostName host : this.sessions.keySet()) {
			this.statusSenders.get(host)
				.next(statusFor(host, command.status(), nowMillis), nowMillis)
				.ifPresent((message) -> send(host, message));
			sendUnconfirmedKeys(host);
		}
		return this;
	}

	// After a cut in one direction, a host that is no longer heard still hears this one,
	// and requests that it forwards would be lost.
	private PeerMessage.PeerStatus statusFor(HostName host, RouterCommand.RouterStatus own, long nowMillis) {
		boolean refusesWork = own.stopping() || !this.table.isLive(host, nowMillis);
		return new PeerMessage.PeerStatus(0, this.identity.self().dataCentre(), this.identity.self().httpAddress(),
				refusesWork, own.configurationIndex(), own.queues(), nowMillis);
	}

	private void onStatus(Holder sender, PeerMessage.PeerStatus status) {
		if (this.table.onStatus(sender.host(), sender.incarnation(), status, this.identity.nowMillis())) {
			publish();
		}
	}

	private void onStatusChange(Holder sender, PeerMessage.PeerStatusChange change) {
		if (this.table.onStatusChange(sender.host(), sender.incarnation(), change, this.identity.nowMillis())) {
			publish();
		}
	}

	private Behavior<PeerCommand> onSubscribe(PeerCommand.Subscribe command) {
		this.subscribers.add(command.subscriber());
		this.published.ifPresent(command.subscriber()::tell);
		return this;
	}

	private Behavior<PeerCommand> onConfigurationEvent(ConfigurationEvent event) {
		if (event instanceof ConfigurationEvent.Activated activated) {
			this.configuration = activated.configuration();
		}
		return this;
	}

	// helpers

	private void publish() {
		PeerView view = this.table.view(this.identity.nowMillis());
		if (this.published.equals(Optional.of(view))) {
			return;
		}
		this.published = Optional.of(view);
		this.router.tell(new RouterCommand.PeersChanged(view, getContext().getSelf()));
		this.subscribers.forEach((subscriber) -> subscriber.tell(view));
	}

	private void send(HostName host, PeerMessage message) {
		Optional.ofNullable(this.sessions.get(host))
			.ifPresent((session) -> session.tell(new LinkCommand.Send<>(envelope(message))));
	}

	private PeerEnvelope envelope(PeerMessage message) {
		return new PeerEnvelope(this.identity.holder(), this.hybridClock.tick(this.identity.nowMillis()), message);
	}

	private record Forwarded(HostName host, ActorRef<AttemptResult> replyTo) {

	}

	private record Withdrawal(KeyHash keyHash, long deadlineMillis, ActorRef<List<DataCentre>> replyTo) {

	}

}
