package io.burdockpin.entry.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.admission.ConfigurationFeed;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.admission.FeedEffect;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.HostName;
import io.burdockpin.entry.EntryIdentity;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Follows the configuration feed and publishes the active configuration.
 */
final class ConfigurationActor extends AbstractBehavior<ConfigurationActor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration TICK = Duration.ofMillis(500);

	private static final long READ_INDEX_TIMEOUT_MILLIS = 3000;

	private final ConfigurationFeed feed;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final Optional<ActorRef<ConfigurationView>> cache;

	private final List<ActorRef<ConfigurationEvent>> subscribers = new ArrayList<>();

	private Optional<ConfigurationView> active = Optional.empty();

	private ConfigurationActor(ActorContext<Command> context, ConfigurationFeed feed, EntryIdentity identity,
			ActorRef<ControlCommand> control, Optional<ActorRef<ConfigurationView>> cache) {
		super(context);
		this.feed = feed;
		this.identity = identity;
		this.control = control;
		this.cache = cache;
		askReadIndex(ReadIndexEnded::new);
	}

	// life cycle

	static Behavior<Command> create(ConfigurationFeed feed, EntryIdentity identity, ActorRef<ControlCommand> control,
			Optional<ActorRef<ConfigurationView>> cache) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(Tick.INSTANCE, TICK);
			return new ConfigurationActor(context, feed, identity, control, cache);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Connected.class, this::onConnected)
			.onMessage(Disconnected.class, this::onDisconnected)
			.onMessage(Received.class, this::onReceived)
			.onMessage(Offered.class, this::onOffered)
			.onMessage(Subscribed.class, this::onSubscribed)
			.onMessage(ReadIndexEnded.class, this::onReadIndexEnded)
			.onMessage(Paused.class, this::onPaused)
			.onMessage(ReadIndexAfterPause.class, this::onReadIndexAfterPause)
			.onMessage(Tick.class, (tick) -> execute(this.feed.tick(this.identity.nowMillis())))
			.build();
	}

	private Behavior<Command> onConnected(Connected command) {
		return execute(this.feed.onConnected(command.member(), this.identity.nowMillis()));
	}

	private Behavior<Command> onDisconnected(Disconnected command) {
		return execute(this.feed.onDisconnected(command.member(), this.identity.nowMillis()));
	}

	private Behavior<Command> onReceived(Received command) {
		return execute(this.feed.onMessage(command.member(), command.message(), this.identity.nowMillis()));
	}

	private Behavior<Command> onOffered(Offered command) {
		return execute(this.feed.onPeerConfiguration(command.configuration()));
	}

	private Behavior<Command> onSubscribed(Subscribed command) {
		this.subscribers.add(command.subscriber());
		this.active
			.ifPresent((configuration) -> command.subscriber().tell(new ConfigurationEvent.Activated(configuration)));
		return this;
	}

	private Behavior<Command> onReadIndexEnded(ReadIndexEnded command) {
		OptionalLong index = readIndex(command.result());
		if (index.isPresent()) {
			return execute(this.feed.onReadIndex(index.getAsLong()));
		}
		logger.atWarning().log("No leader returned its read index. Using the newest known configuration.");
		return execute(this.feed.onReadIndexUnavailable());
	}

	// Only the reply to a new call covers changes made during the pause. Heartbeats and
	// updates read from a buffer may have been sent before or during it.
	private Behavior<Command> onPaused(Paused command) {
		askReadIndex((result) -> new ReadIndexAfterPause(command.pause(), result));
		return this;
	}

	private Behavior<Command> onReadIndexAfterPause(ReadIndexAfterPause command) {
		OptionalLong index = readIndex(command.result());
		if (index.isEmpty()) {
			logger.atWarning().log("No leader returned its read index after a pause. Using the known configuration.");
		}
		return execute(this.feed.onReadIndexAfterPause(command.pause(), index));
	}

	// helpers

	private void askReadIndex(Function<CallResult, Command> ended) {
		getContext().ask(CallResult.class, this.control, Duration.ofMillis(2 * READ_INDEX_TIMEOUT_MILLIS),
				(ActorRef<CallResult> replyTo) -> new ControlCommand.Call(ClientMessage.ReadIndex::new,
						READ_INDEX_TIMEOUT_MILLIS, replyTo),
				(result, failure) -> ended
					.apply((failure != null) ? new CallResult.Unknown(failure.getMessage()) : result));
	}

	private static OptionalLong readIndex(CallResult result) {
		if (result instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.ReadIndexReply reply) {
			return OptionalLong.of(reply.configurationIndex());
		}
		return OptionalLong.empty();
	}

	private Behavior<Command> execute(List<FeedEffect> effects) {
		effects.forEach(this::execute);
		return this;
	}

	private void execute(FeedEffect effect) {
		if (effect instanceof FeedEffect.Send send) {
			this.control.tell(new ControlCommand.SendTo(send.member(), send.message()));
		}
		else if (effect instanceof FeedEffect.Activate activation) {
			activate(activation.configuration());
		}
		else if (effect instanceof FeedEffect.Confirmed confirmed) {
			this.subscribers
				.forEach((subscriber) -> subscriber.tell(new ConfigurationEvent.Confirmed(confirmed.pause())));
		}
		else {
			this.subscribers.forEach((subscriber) -> subscriber.tell(ConfigurationEvent.MajorityContact.INSTANCE));
		}
	}

	private void activate(ConfigurationView configuration) {
		if (this.active.map(ConfigurationView::index).orElse(-1L) >= configuration.index()) {
			return;
		}
		logger.atInfo().log("Configuration %d is active.", configuration.index());
		this.active = Optional.of(configuration);
		this.cache.ifPresent((target) -> target.tell(configuration));
		this.subscribers.forEach((subscriber) -> subscriber.tell(new ConfigurationEvent.Activated(configuration)));
	}

	sealed interface Command {

	}

	record Connected(HostName member) implements Command {

	}

	record Disconnected(HostName member) implements Command {

	}

	record Received(HostName member, ClientMessage message) implements Command {

	}

	record Offered(ConfigurationView configuration) implements Command {

	}

	record Subscribed(ActorRef<ConfigurationEvent> subscriber) implements Command {

	}

	record Paused(long pause) implements Command {

	}

	private record ReadIndexAfterPause(long pause, CallResult result) implements Command {

	}

	private record ReadIndexEnded(CallResult result) implements Command {

	}

	private enum Tick implements Command {

		INSTANCE

	}

}
