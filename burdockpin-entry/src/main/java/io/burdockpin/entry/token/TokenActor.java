package io.burdockpin.entry.token;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.limit.HolderDeltas;
import io.burdockpin.core.limit.LocalTokens;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.TokenCommand.RegisterHolder;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the tokens of this entry host, registers it as a token holder and renews its
 * leases with periodic reports. If the control group forgot the host while its process
 * was running, the actor registers a new incarnation and the process continues.
 */
public final class TokenActor extends AbstractBehavior<TokenCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration RETRY = Duration.ofMillis(500);

	private static final long REGISTER_TIMEOUT_MILLIS = 3000;

	private static final long DRAIN_TIMEOUT_MILLIS = 2000;

	private final TimerScheduler<TokenCommand> timers;

	private final EntryIdentity identity;

	private final long reportMillis;

	private final ActorRef<ControlCommand> control;

	private final LocalTokens localTokens;

	private HolderDeltas deltas = new HolderDeltas();

	private final List<ActorRef<TokenEvent>> subscribers = new ArrayList<>();

	private Holder holder;

	private boolean registered;

	private boolean reportPending;

	private TokenActor(ActorContext<TokenCommand> context, TimerScheduler<TokenCommand> timers, EntryIdentity identity,
			long reportMillis, ActorRef<ControlCommand> control) {
		super(context);
		this.timers = timers;
		this.identity = identity;
		this.reportMillis = reportMillis;
		this.control = control;
		this.holder = identity.holder();
		this.localTokens = new LocalTokens(this.holder);
		control.tell(new ControlCommand.SubscribeGrants(
				context.messageAdapter(ClientMessage.TokenGrants.class, TokenCommand.GrantsPushed::new)));
		register();
	}

	// life cycle

	/**
	 * Creates the behavior of the token owner.
	 * @param identity identity and clock of this entry host
	 * @param reportMillis period of the reports
	 * @param control sends calls to the leader of the control group
	 * @return the behavior
	 */
	public static Behavior<TokenCommand> create(EntryIdentity identity, long reportMillis,
			ActorRef<ControlCommand> control) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new TokenActor(context, timers, identity, reportMillis, control)));
	}

	@Override
	public Receive<TokenCommand> createReceive() {
		return newReceiveBuilder().onMessage(TokenCommand.Acquire.class, this::onAcquire)
			.onMessage(TokenCommand.Release.class, this::onRelease)
			.onMessage(TokenCommand.Hold.class, (command) -> this)
			.onMessage(TokenCommand.Demand.class, this::onDemand)
			.onMessage(TokenCommand.Subscribe.class, this::onSubscribe)
			.onMessage(TokenCommand.ReportCounts.class, this::onReportCounts)
			.onMessage(TokenCommand.Drain.class, this::onDrain)
			.onMessage(TokenCommand.Registered.class, this::onRegistered)
			.onMessage(TokenCommand.ReportEnded.class, this::onReportEnded)
			.onMessage(TokenCommand.GrantsPushed.class, (command) -> applyGrants(command.grants()))
			.onMessage(TokenCommand.Tick.class, (command) -> onTick())
			.build();
	}

	private Behavior<TokenCommand> onAcquire(TokenCommand.Acquire command) {
		boolean granted = this.localTokens.tryAcquire(command.team(), command.attempt(), command.deadlineMillis(),
				this.identity.nowMillis());
		command.replyTo().tell(new TokenEvent.AcquireResult(command.attempt(), command.team(), granted));
		return this;
	}

	private Behavior<TokenCommand> onRelease(TokenCommand.Release command) {
		this.localTokens.release(command.attempt());
		publishAvailable();
		return this;
	}

	private Behavior<TokenCommand> onDemand(TokenCommand.Demand command) {
		boolean hadDemand = this.localTokens.hasDemand();
		this.localTokens.updateDemand(command.waitingCounts());
		if (!hadDemand && this.localTokens.hasDemand()) {
			report();
		}
		return this;
	}

	private Behavior<TokenCommand> onSubscribe(TokenCommand.Subscribe command) {
		this.subscribers.add(command.subscriber());
		return this;
	}

	private Behavior<TokenCommand> onReportCounts(TokenCommand.ReportCounts command) {
		command.replyTo().tell(new TokenCommand.Counts(this.localTokens.counts(this.identity.nowMillis())));
		return this;
	}

	private Behavior<TokenCommand> onTick() {
		this.localTokens.expire(this.identity.nowMillis());
		publishAvailable();
		if (this.registered) {
			report();
		}
		else {
			register();
		}
		return this;
	}

	private Behavior<TokenCommand> onRegistered(TokenCommand.Registered command) {
		this.registered = isAccepted(command.result());
		if (this.registered) {
			logger.atInfo().log("Registered as token holder with incarnation %d.", this.holder.incarnation());
			this.timers.startTimerWithFixedDelay(TokenCommand.Tick.INSTANCE, Duration.ZERO,
					Duration.ofMillis(this.reportMillis));
		}
		else {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.MINUTES)
				.log("Cannot register as token holder: %s.", command.result());
			this.timers.startSingleTimer(TokenCommand.Tick.INSTANCE, RETRY);
		}
		return this;
	}

	private Behavior<TokenCommand> onReportEnded(TokenCommand.ReportEnded command) {
		this.reportPending = false;
		if (command.result() instanceof CallResult.Answered answered) {
			onReportAnswered(answered.message());
		}
		return this;
	}

	private void onReportAnswered(ClientMessage answer) {
		if (answer instanceof ClientMessage.TokenGrants grants) {
			applyGrants(grants);
		}
		else if (answer instanceof ClientMessage.HolderForgotten forgotten) {
			this.localTokens.onForgotten(forgotten).ifPresent(this::startIncarnation);
		}
	}

	private Behavior<TokenCommand> applyGrants(ClientMessage.TokenGrants grants) {
		this.deltas.fromDelta(grants).filter(this.localTokens::applyGrants).ifPresent(this.deltas::onApplied);
		publishAvailable();
		return this;
	}

	private Behavior<TokenCommand> onDrain(TokenCommand.Drain command) {
		this.localTokens.returnIdleTokens();
		call(tokenReport(), DRAIN_TIMEOUT_MILLIS, (result) -> {
			command.replyTo().tell(Done.getInstance());
			return new TokenCommand.ReportEnded(new CallResult.Unknown("drained"));
		});
		return this;
	}

	// helpers

	// Only the tokens get a new incarnation. Claims and peers keep the incarnation of the
	// process, which is still running.
	private void startIncarnation(Holder newHolder) {
		logger.atWarning()
			.log("The control group forgot incarnation %d. Registering incarnation %d without tokens.",
					this.holder.incarnation(), newHolder.incarnation());
		this.holder = newHolder;
		this.deltas = new HolderDeltas();
		this.registered = false;
		this.timers.cancel(TokenCommand.Tick.INSTANCE);
		register();
	}

	private void register() {
		RegisterHolder registration = new RegisterHolder(this.holder, this.identity.self().dataCentre());
		call((correlation) -> new ClientMessage.Propose(correlation, Optional.empty(), OptionalLong.empty(),
				registration), REGISTER_TIMEOUT_MILLIS, TokenCommand.Registered::new);
	}

	private static boolean isAccepted(CallResult result) {
		return result instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.ProposeReply reply
				&& reply.result() instanceof CommandResult.Accepted;
	}

	private void report() {
		if (this.registered && !this.reportPending) {
			this.reportPending = true;
			call(tokenReport(), this.reportMillis, TokenCommand.ReportEnded::new);
		}
	}

	private void call(LongFunction<ClientMessage> message, long timeoutMillis,
			Function<CallResult, TokenCommand> ended) {
		getContext().ask(CallResult.class, this.control, Duration.ofMillis(2 * timeoutMillis),
				(ActorRef<CallResult> replyTo) -> new ControlCommand.Call(message, timeoutMillis, replyTo),
				(result, failure) -> ended
					.apply((failure != null) ? new CallResult.Unknown(failure.getMessage()) : result));
	}

	private LongFunction<ClientMessage> tokenReport() {
		long nowMillis = this.identity.nowMillis();
		return this.deltas.toDelta(this.localTokens.nextReport(nowMillis), nowMillis)::withCorrelation;
	}

	private void publishAvailable() {
		this.localTokens.teamsWithIdleTokens(this.identity.nowMillis())
			.forEach((team) -> this.subscribers
				.forEach((subscriber) -> subscriber.tell(new TokenEvent.Available(team))));
	}

}
