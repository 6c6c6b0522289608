package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.admission.Admission;
import io.burdockpin.core.admission.AdmissionResult;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.routing.QueueCapacity;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.core.routing.RunnerTable;
import io.burdockpin.core.routing.RunnerTableSettings;
import io.burdockpin.core.routing.Target;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.event.EventRecorder;
import io.burdockpin.entry.event.RequestEventRecorder;
import io.burdockpin.entry.router.OpenRequests.ForwardKey;
import io.burdockpin.entry.router.OpenRequests.RequestKey;
import io.burdockpin.entry.router.OpenRequests.Running;
import io.burdockpin.entry.token.TokenCommand;
import io.burdockpin.entry.token.TokenEvent;
import io.burdockpin.runtime.link.TlsLinkTransport;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.StashBuffer;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Admits and queues requests, and dispatches them to attached runners or forwards them to
 * other entry hosts. Each request is a child actor.
 */
public final class RouterActor extends AbstractBehavior<RouterCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Tick period while requests wait. A tick expires deadlines, chooses peers again,
	 * reports the demand for tokens and writes pending events.
	 */
	private static final long WAITING_TICK_MILLIS = 50;

	/**
	 * Longest tick period. Must stay well below 2 s, because {@link ConfirmationGate}
	 * treats a gap of that length as a pause of the process.
	 */
	private static final long IDLE_TICK_MILLIS = 500;

	/** Adds a margin of one fifth to the longest request timeout. */
	private static final int MARGIN_DIVISOR = 5;

	private final TimerScheduler<RouterCommand> timers;

	private final EntryIdentity identity;

	private final EntrySettings settings;

	private final ActorRef<ControlCommand> control;

	private final ConfirmationGate gate;

	private final AttemptTokens tokens;

	private final EventRecorder events;

	private final RequestEventRecorder requestEvents;

	private final MetricRegistry metrics;

	private final Admission admission;

	private final ActorRef<RunnerConnections.Command> connections;

	private final IdleLimits idleLimits;

	private final RunnerTable runners;

	private final PeerRouting peerRouting;

	private final Map<QueueName, WaitingRequests> waiting = new TreeMap<>();

	private final OpenRequests openRequests = new OpenRequests();

	private boolean stopping;

	private boolean refusingRequests;

	private long lastNumber;

	private long tickDueMillis = Long.MAX_VALUE;

	private RouterActor(ActorContext<RouterCommand> context, TimerScheduler<RouterCommand> timers,
			StashBuffer<RouterCommand> unconfirmed, EntryIdentity identity, EntrySettings settings,
			Optional<ReloadableTlsIdentity> tls, ActorRef<ControlCommand> control, ActorRef<TokenCommand> tokens,
			RandomGenerator random, EventRecorder events, MetricRegistry metrics) {
		super(context);
		this.timers = timers;
		this.identity = identity;
		this.settings = settings;
		this.control = control;
		this.tokens = new AttemptTokens(tokens,
				context.messageAdapter(TokenEvent.class, RouterCommand.TokenEventReceived::new));
		this.peerRouting = new PeerRouting(settings, identity.self().dataCentre(), random);
		this.events = events;
		this.requestEvents = new RequestEventRecorder(events, settings.requestEvents());
		this.metrics = metrics;
		this.admission = new Admission(settings.admissionLimits(), identity.nowMillis());
		this.gate = new ConfirmationGate(unconfirmed, identity, control);
		long longestMillis = settings.limits().timeoutMillis();
		RunnerConnector connector = new RunnerConnector(context.getSystem(), Duration.ofMillis(longestMillis),
				settings.limits().answerBytes(), tls.map(TlsLinkTransport::new));
		this.connections = context.spawn(
				RunnerConnections.create(identity, connector, settings.timing().runnerIdleMillis(), metrics),
				"connections");
		// The router cannot work without the connection pool, so it fails with it.
		context.watch(this.connections);
		this.idleLimits = new IdleLimits(this.connections);
		this.runners = new RunnerTable(
				new RunnerTableSettings(settings.timing().attachmentMillis(),
						longestMillis + longestMillis / MARGIN_DIVISOR, settings.policy()),
				identity.self().dataCentre(), random);
		control.tell(new ControlCommand.Subscribe(
				context.messageAdapter(ConfigurationEvent.class, RouterCommand.ConfigurationEventReceived::new)));
		scheduleTickWithin(IDLE_TICK_MILLIS);
	}

	// life cycle

	/**
	 * Creates the behavior of the router.
	 * @param identity identity and clock of this entry host
	 * @param settings settings of this entry host
	 * @param tls certificates of this process; required for runners with TLS
	 * @param control proposes claims and publishes the configuration
	 * @param tokens owns the tokens
	 * @param random source of randomness for choices between equal targets and for jitter
	 * @param events records events
	 * @param metrics counts attempts and late responses
	 * @return the behavior
	 */
	public static Behavior<RouterCommand> create(EntryIdentity identity, EntrySettings settings,
			Optional<ReloadableTlsIdentity> tls, ActorRef<ControlCommand> control, ActorRef<TokenCommand> tokens,
			RandomGenerator random, EventRecorder events, MetricRegistry metrics) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> Behaviors.withStash(ConfirmationGate.CAPACITY, (stash) -> new RouterActor(context,
					timers, stash, identity, settings, tls, control, tokens, random, events, metrics))));
	}

	@Override
	public Receive<RouterCommand> createReceive() {
		return newReceiveBuilder().onMessage(RouterCommand.Submit.class, this::onSubmit)
			.onMessage(RouterCommand.CallerDisconnected.class, this::onCallerDisconnected)
			.onMessage(RouterCommand.AbandonRequest.class, this::onAbandonRequest)
			.onMessage(RouterCommand.CheckKey.class, this::onCheckKey)
			.onMessage(RouterCommand.RecordJob.class, this::onRecordJob)
			.onMessage(RouterCommand.RecordJobRefusal.class, this::onRecordJobRefusal)
			.onMessage(RouterCommand.AnnounceRunner.class, this::onAnnounceRunner)
			.onMessage(RouterCommand.Enqueue.class, this::onEnqueue)
			.onMessage(RouterCommand.AttemptEnded.class, this::onAttemptEnded)
			.onMessage(RouterCommand.RequestEnded.class, this::onRequestEnded)
			.onMessage(RouterCommand.SubmitForwarded.class, this::onSubmitForwarded)
			.onMessage(RouterCommand.CancelForwarded.class, this::onCancelForwarded)
			.onMessage(RouterCommand.PeersChanged.class, this::onPeersChanged)
			.onMessage(RouterCommand.ConfigurationEventReceived.class,
					(command) -> onConfigurationEvent(command.event()))
			.onMessage(RouterCommand.TokenEventReceived.class, (command) -> onTokenEvent(command.event()))
			.onMessage(RouterCommand.WithdrawKeys.class, this::onWithdrawKeys)
			.onMessage(RouterCommand.ReportStatus.class, this::onReportStatus)
			.onMessage(RouterCommand.BeginStop.class, (command) -> onBeginStop())
			.onMessage(RouterCommand.StopAccepting.class, (command) -> onStopAccepting())
			.onMessage(RouterCommand.AwaitIdle.class, this::onAwaitIdle)
			.onMessage(RouterCommand.Tick.class, (command) -> onTick())
			.build();
	}

	private Behavior<RouterCommand> onBeginStop() {
		this.stopping = true;
		return this;
	}

	private Behavior<RouterCommand> onStopAccepting() {
		this.refusingRequests = true;
		return this.gate.close(this);
	}

	private Behavior<RouterCommand> onAwaitIdle(RouterCommand.AwaitIdle command) {
		this.openRequests.awaitIdle(command.replyTo());
		return this;
	}

	// requests from callers

	private Behavior<RouterCommand> onSubmit(RouterCommand.Submit command) {
		if (this.refusingRequests) {
			command.replyTo().tell(FinalResponse.Refused.of(ErrorCode.STOPPING, "the entry host is stopping"));
			return this;
		}
		ConfirmationGate.Decision passage = this.gate.check(command);
		if (passage == ConfirmationGate.Decision.REFUSED) {
			command.replyTo().tell(FinalResponse.Refused.of(ErrorCode.KEY_UNVERIFIED, ConfirmationGate.REASON));
		}
		if (passage != ConfirmationGate.Decision.PROCEED) {
			return this;
		}
		CallerRequest request = command.request();
		WaitingRequests waiting = waiting(request.admissionRequest().queue());
		AdmissionResult result = this.admission.check(request.admissionRequest(), waiting.queue()::isFull,
				this.identity.nowMillis());
		if (result instanceof AdmissionResult.Admitted admitted) {
			accept(request, admitted, command);
		}
		else if (result instanceof AdmissionResult.Refused refused) {
			this.requestEvents.recordRefused(request.admissionRequest(), request.requestId(), refused.code());
			command.replyTo().tell(FinalResponse.Refused.of(refused.code(), refused.message()));
		}
		return this;
	}

	private void accept(CallerRequest request, AdmissionResult.Admitted admitted, RouterCommand.Submit command) {
		ActorRef<FinalResponse> replyTo = command.replyTo();
		RequestKey key = new RequestKey(admitted.team(), request.requestId());
		Optional<Running> running = this.openRequests.running(key);
		if (running.isPresent() && !request.admissionRequest().repeatable()) {
			running.get().actor().tell(new RequestActor.Join(replyTo));
			this.openRequests.addCaller(running.get(), replyTo);
			return;
		}
		QueuedRequest queued = new QueuedRequest(++this.lastNumber, admitted.team(), admitted.weight(), Math
			.min(admitted.deadlineMillis(), command.receivedMillis() + request.admissionRequest().timeoutMillis()));
		RequestContext context = new RequestContext(request, this.identity, this.settings.limits(),
				this.settings.timing().proposalMillis(), getContext().getSelf(), this.control);
		ActorRef<RequestActor.Message> actor = getContext().spawn(RequestActor.create(context, queued, replyTo),
				"request-" + queued.number());
		if (request.admissionRequest().repeatable()) {
			this.openRequests.addRepeatable(queued.number());
		}
		else {
			this.openRequests.addNonRepeatable(queued.number(), key, actor);
		}
		this.openRequests.addCaller(new Running(queued.number(), actor), replyTo);
		waiting(request.admissionRequest().queue()).retryBudget().recordRequest(this.identity.nowMillis());
		this.requestEvents.recordAccepted(queued.number(), request.admissionRequest(), request.requestId(),
				admitted.team());
		scheduleTickWithin(WAITING_TICK_MILLIS);
	}

	private Behavior<RouterCommand> onCallerDisconnected(RouterCommand.CallerDisconnected command) {
		this.openRequests.actorOf(command.caller())
			.ifPresent((actor) -> actor.tell(new RequestActor.CallerDisconnected(command.caller())));
		return this;
	}

	private Behavior<RouterCommand> onAbandonRequest(RouterCommand.AbandonRequest command) {
		this.openRequests.abandon(command.number());
		cancelWaiting(command.number());
		dispatchAll();
		return this;
	}

	private Behavior<RouterCommand> onCheckKey(RouterCommand.CheckKey command) {
		switch (this.gate.check(command)) {
			case PROCEED ->
				command.replyTo().tell(this.admission.checkKey(command.keyHash(), this.identity.nowMillis()));
			case REFUSED ->
				command.replyTo().tell(new AdmissionResult.Refused(ErrorCode.KEY_UNVERIFIED, ConfirmationGate.REASON));
			case DEFERRED -> logger.atFine().log("Deferred a key check until the configuration is confirmed.");
		}
		return this;
	}

	private Behavior<RouterCommand> onRecordJob(RouterCommand.RecordJob command) {
		this.requestEvents.recordJobSubmitted(command.job(), command.team(), command.keyHash(), command.repeatable());
		return this;
	}

	private Behavior<RouterCommand> onRecordJobRefusal(RouterCommand.RecordJobRefusal command) {
		this.requestEvents.recordJobRefused(command.job(), command.code());
		return this;
	}

	private Behavior<RouterCommand> onRequestEnded(RouterCommand.RequestEnded command) {
		this.requestEvents.recordAnswered(command.number(), command.outcome());
		this.openRequests.end(command.number()).ifPresent((actor) -> actor.tell(new RequestActor.Release()));
		return this;
	}

	// requests from other entry hosts

	private Behavior<RouterCommand> onSubmitForwarded(RouterCommand.SubmitForwarded command) {
		ForwardKey key = new ForwardKey(command.sender(), command.request().attempt());
		if (this.openRequests.forwarded(key).isPresent()) {
			logger.atFine().log("Dropped a duplicate of forwarded attempt %d.", command.request().attempt());
			return this;
		}
		long deadlineMillis = command.request()
			.deadlineMillis(this.identity.nowMillis(), this.settings.limits().timeoutMillis());
		QueuedRequest queued = new QueuedRequest(++this.lastNumber, command.request().team(),
				this.admission.weightOf(command.request().team()), deadlineMillis);
		this.openRequests.addForwarded(queued.number(), key);
		this.requestEvents.recordForwarded(queued.number(), command.request(), command.sender());
		getContext().spawn(ForwardedRequestActor.create(command, queued, this.identity, getContext().getSelf()),
				"forwarded-" + queued.number());
		return this;
	}

	private Behavior<RouterCommand> onCancelForwarded(RouterCommand.CancelForwarded command) {
		this.openRequests.forwarded(new ForwardKey(command.sender(), command.attempt())).ifPresent(this::cancelWaiting);
		return this;
	}

	private void cancelWaiting(long number) {
		for (WaitingRequests requests : this.waiting.values()) {
			requests.queue()
				.cancel(number)
				.flatMap(requests::take)
				.ifPresent((entry) -> refuse(entry, ErrorCode.DEADLINE_EXCEEDED_BEFORE_START,
						"the request was cancelled"));
		}
	}

	// waiting and attempts

	private Behavior<RouterCommand> onEnqueue(RouterCommand.Enqueue entry) {
		WaitingRequests waiting = waiting(entry.queue());
		long nowMillis = this.identity.nowMillis();
		if (entry.request().deadlineMillis() <= nowMillis) {
			refuse(entry, ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed");
		}
		else if (entry.forwarded() && this.refusingRequests) {
			refuse(entry, ErrorCode.STOPPING, "the entry host is stopping");
		}
		else if (entry.retry() && !waiting.retryBudget().tryRetry(nowMillis)) {
			refuse(entry, ErrorCode.NO_RUNNER, "the retry budget of the queue is exhausted");
		}
		else if (entry.forwarded() && this.runners.capacity(entry.queue(), nowMillis).slots() == 0) {
			refuse(entry, ErrorCode.NO_RUNNER, "no runner is attached");
		}
		else if (!waiting.add(entry)) {
			refuse(entry, ErrorCode.QUEUE_FULL, "the queue is full");
		}
		else {
			dispatch(entry.queue(), waiting);
			scheduleTickWithin(WAITING_TICK_MILLIS);
		}
		return this;
	}

	private Behavior<RouterCommand> onAttemptEnded(RouterCommand.AttemptEnded command) {
		this.requestEvents.recordAttemptEnded(command.attempt(), command.outcome(), command.answer());
		this.runners.queueOf(command.attempt())
			.ifPresent((queue) -> this.metrics.increment(Metric.ATTEMPTS, queue.value(), command.outcome().name()));
		this.runners.endAttempt(command.attempt(), command.outcome(), command.verdict(), this.identity.nowMillis());
		this.tokens.end(command.attempt(), command.outcome());
		if (command.verdict() != AttemptVerdict.GOOD) {
			limitIdleConnections();
		}
		dispatchAll();
		return this;
	}

	private void dispatchAll() {
		this.waiting.forEach(this::dispatch);
	}

	private void dispatch(QueueName queue, WaitingRequests waiting) {
		Optional<QueuedRequest> next = waiting.queue().poll((request) -> isStartable(queue, waiting.entry(request)));
		while (next.isPresent()) {
			waiting.take(next.get()).ifPresent(this::start);
			next = waiting.queue().poll((request) -> isStartable(queue, waiting.entry(request)));
		}
	}

	private boolean isStartable(QueueName queue, RouterCommand.Enqueue entry) {
		if (!entry.forwarded() && this.tokens.isBlocked(entry.request().team())) {
			return false;
		}
		return capacity(queue).freeSlots() > 0
				|| this.peerRouting.choose(entry, () -> ownWaitMillis(queue)).isPresent();
	}

	// After a pause of the process, events may arrive before the tick that expires
	// waiting
	// requests.
	private void start(RouterCommand.Enqueue entry) {
		if (entry.request().deadlineMillis() <= this.identity.nowMillis()) {
			refuse(entry, ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed");
			return;
		}
		long attempt = ++this.lastNumber;
		Set<RunnerName> avoidedRunners = new HashSet<>();
		for (Target target : entry.avoided()) {
			if (target instanceof Target.LocalRunner own) {
				avoidedRunners.add(own.runner());
			}
		}
		Optional<Runner> runner = this.runners.beginAttempt(entry.queue(), attempt, avoidedRunners,
				entry.request().deadlineMillis(), this.identity.nowMillis());
		Optional<Dispatch> dispatch = runner.map((found) -> new Dispatch.ToRunner(attempt, found,
				this.runners.deadlineByRunnerClock(found.name(), entry.request().deadlineMillis()), this.connections));
		send(entry, attempt,
				dispatch.or(() -> this.peerRouting.forward(entry, attempt, () -> ownWaitMillis(entry.queue()))));
	}

	private void send(RouterCommand.Enqueue entry, long attempt, Optional<Dispatch> dispatch) {
		if (dispatch.isEmpty()) {
			waiting(entry.queue()).putBack(entry);
		}
		else if (entry.forwarded() || entry.request().team().isEmpty()) {
			recordStart(entry, dispatch.get());
			entry.replyTo().tell(dispatch.get());
		}
		else {
			this.tokens.acquire(entry.request().team().get(), attempt, entry, dispatch.get());
		}
	}

	private void recordStart(RouterCommand.Enqueue entry, Dispatch dispatch) {
		long number = entry.request().number();
		if (dispatch instanceof Dispatch.ToRunner toRunner) {
			this.requestEvents.recordSentToRunner(number, toRunner.attempt(), toRunner.runner().name());
		}
		else if (dispatch instanceof Dispatch.ToPeer toPeer) {
			this.requestEvents.recordSentToPeer(number, toPeer.attempt(), toPeer.host());
		}
	}

	private long ownWaitMillis(QueueName queue) {
		QueueCapacity capacity = capacity(queue);
		return PeerLoad.expectedWaitMillis(capacity.slots(), capacity.freeSlots(), waiting(queue).queue().length(),
				capacity.serviceMillis());
	}

	private QueueCapacity capacity(QueueName queue) {
		return this.runners.capacity(queue, this.identity.nowMillis());
	}

	private void refuse(RouterCommand.Enqueue entry, ErrorCode code, String message) {
		entry.replyTo().tell(new Dispatch.NoAttempt(code, message));
	}

	// runners, peers, configuration, tokens

	private Behavior<RouterCommand> onAnnounceRunner(RouterCommand.AnnounceRunner command) {
		Runner runner = command.runner();
		boolean known = this.runners.isAttached(runner.name());
		boolean attached = this.runners.announce(runner, this.identity.nowMillis());
		if (attached && !known) {
			this.events.record(this.events.newEvent(EventKind.RUNNER_ATTACHED).with(EventField.RUNNER, runner.name()));
		}
		Optional<String> attachTo = this.peerRouting.attachTo(runner.name(), this.stopping);
		command.replyTo().tell(new RouterCommand.Attached(attached, attachTo));
		this.idleLimits.attached(runner.name(), attachTo.isPresent());
		limitIdleConnections();
		dispatchAll();
		scheduleTickWithin(this.settings.timing().attachmentMillis());
		return this;
	}

	private Behavior<RouterCommand> onPeersChanged(RouterCommand.PeersChanged command) {
		this.peerRouting.update(command);
		dispatchAll();
		return this;
	}

	private Behavior<RouterCommand> onConfigurationEvent(ConfigurationEvent event) {
		if (event instanceof ConfigurationEvent.Activated activated) {
			this.admission.configure(activated.configuration());
			this.requestEvents.recordWithdrawnKeys(activated.configuration().withdrawnKeys());
			this.events.record(this.events.newEvent(EventKind.CONFIGURATION_APPLIED)
				.with(EventField.INDEX, activated.configuration().index()));
		}
		else if (event instanceof ConfigurationEvent.Confirmed confirmed) {
			return this.gate.onConfirmed(confirmed.pause(), this);
		}
		else {
			this.admission.onMajorityContact(this.identity.nowMillis());
		}
		return this;
	}

	private Behavior<RouterCommand> onWithdrawKeys(RouterCommand.WithdrawKeys command) {
		this.admission.withdraw(command.keyHashes());
		this.requestEvents.recordWithdrawnKeys(command.keyHashes());
		command.replyTo().tell(Done.getInstance());
		return this;
	}

	private Behavior<RouterCommand> onTokenEvent(TokenEvent event) {
		if (event instanceof TokenEvent.AcquireResult result) {
			this.tokens.onAcquireResult(result).ifPresent((pending) -> onAcquireResult(result, pending));
		}
		else if (event instanceof TokenEvent.Available available) {
			this.tokens.onAvailable(available.team());
			dispatchAll();
		}
		return this;
	}

	private void onAcquireResult(TokenEvent.AcquireResult result, AttemptTokens.PendingAttempt pending) {
		if (result.granted()) {
			recordStart(pending.entry(), pending.dispatch());
			pending.entry().replyTo().tell(pending.dispatch());
			return;
		}
		this.runners.cancelAttempt(result.attempt());
		if (this.openRequests.isAbandoned(pending.entry().request().number())) {
			refuse(pending.entry(), ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the request was cancelled");
		}
		else {
			waiting(pending.entry().queue()).putBack(pending.entry());
			scheduleTickWithin(WAITING_TICK_MILLIS);
		}
		reportDemand();
		dispatchAll();
	}

	private Behavior<RouterCommand> onReportStatus(RouterCommand.ReportStatus command) {
		List<QueueStatus> queues = new ArrayList<>();
		for (QueueName queue : this.runners.queues()) {
			QueueCapacity capacity = capacity(queue);
			queues.add(new QueueStatus(queue, capacity.slots(), capacity.freeSlots(), waiting(queue).queue().length(),
					capacity.serviceMillis()));
		}
		command.replyTo()
			.tell(new RouterCommand.RouterStatus(this.admission.isConfigured(), this.admission.configuration().index(),
					this.stopping, this.openRequests.count(), queues, this.runners.runnerCounts()));
		return this;
	}

	private Behavior<RouterCommand> onTick() {
		this.gate.detectPause();
		long nowMillis = this.identity.nowMillis();
		for (RunnerName lost : this.runners.expire(nowMillis)) {
			logger.atInfo().log("Runner %s is no longer attached.", lost);
			this.events.record(this.events.newEvent(EventKind.RUNNER_REMOVED).with(EventField.RUNNER, lost));
			this.idleLimits.removed(lost);
		}
		limitIdleConnections();
		this.waiting.values().forEach((waiting) -> expire(waiting, nowMillis));
		reportDemand();
		dispatchAll();
		this.requestEvents.writePendingAcceptances();
		this.tickDueMillis = Long.MAX_VALUE;
		scheduleTickWithin(millisToNextTick(nowMillis));
		return this;
	}

	// helpers

	private long millisToNextTick(long nowMillis) {
		boolean waits = this.waiting.values().stream().anyMatch((waiting) -> waiting.queue().length() > 0);
		if (waits || this.requestEvents.hasPendingAcceptances()) {
			return WAITING_TICK_MILLIS;
		}
		long untilExpiryMillis = this.runners.nextExpiryMillis().orElse(Long.MAX_VALUE) - nowMillis;
		return Math.max(1, Math.min(IDLE_TICK_MILLIS, untilExpiryMillis));
	}

	private void scheduleTickWithin(long delayMillis) {
		long dueMillis = this.identity.nowMillis() + delayMillis;
		if (dueMillis < this.tickDueMillis) {
			this.tickDueMillis = dueMillis;
			this.timers.startSingleTimer(RouterCommand.Tick.INSTANCE, Duration.ofMillis(delayMillis));
		}
	}

	private void expire(WaitingRequests waiting, long nowMillis) {
		for (QueuedRequest request : waiting.queue().expire(nowMillis)) {
			boolean limited = this.tokens.isBlocked(request.team());
			waiting.take(request)
				.ifPresent((entry) -> refuse(entry,
						limited ? ErrorCode.TEAM_LIMIT_REACHED : ErrorCode.DEADLINE_EXCEEDED_BEFORE_START,
						limited ? "the team has reached its upper limit" : "no slot became free before the deadline"));
		}
	}

	private void limitIdleConnections() {
		this.idleLimits.update(this.runners.idleConnectionLimits(this.identity.nowMillis()));
	}

	private void reportDemand() {
		this.tokens.reportDemand((team) -> this.waiting.values()
			.stream()
			.mapToInt((requests) -> requests.queue().waitingCount(team))
			.sum());
	}

	private WaitingRequests waiting(QueueName queue) {
		return this.waiting.computeIfAbsent(queue, (name) -> new WaitingRequests(this.settings.limits().queueLength()));
	}

}
