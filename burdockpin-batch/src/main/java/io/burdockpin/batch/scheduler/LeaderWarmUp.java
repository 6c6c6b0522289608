package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.model.Resources;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Warms up the code with which a leader contacts its runners: it is loaded and compiled
 * before this member becomes leader. Otherwise, a new leader on a small host would not
 * answer for seconds while it contacts all runners with cold code. The warm-up opens
 * connections to this process itself and sends orders that are refused. It starts some
 * seconds after the election of another member and ends when this member becomes leader,
 * or when all orders are sent.
 */
public final class LeaderWarmUp extends AbstractBehavior<LeaderWarmUp.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** With four orders each: the JIT compiler compiles a method after 200 calls. */
	private static final int CONNECTIONS = 50;

	private static final int ORDERS_PER_CONNECTION = 4;

	/**
	 * The pause after an order is at least as long as the order took, which leaves at
	 * least half of the processor to other work.
	 */
	private static final long MINIMUM_PAUSE_MILLIS = 20;

	/** Generous, because it only detects that a connection to this process hangs. */
	private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

	/** After a restart of the whole group, callers and runners must reconnect first. */
	private static final Duration START_DELAY = Duration.ofSeconds(3);

	private final TimerScheduler<Command> timers;

	private final RunnerChannel.Factory channels;

	private final RunnerRecord self;

	private final InstantSource clock;

	private final ActorRef<RunnerChannel.Answered> replyTo;

	private Optional<ActorRef<RunnerChannel.Command>> channel = Optional.empty();

	private long sentMillis;

	private int sentCount;

	private LeaderWarmUp(ActorContext<Command> context, TimerScheduler<Command> timers, RunnerChannel.Factory channels,
			String address, InstantSource clock) {
		super(context);
		this.timers = timers;
		this.channels = channels;
		this.clock = clock;
		this.self = new RunnerRecord(new RunnerKey("warm-up", 0), Optional.empty(), "", address, "", Optional.empty(),
				Resources.NONE, Set.of(), true);
		this.replyTo = context.messageAdapter(RunnerChannel.Answered.class, (answered) -> Step.ANSWERED);
	}

	/**
	 * Creates the behavior.
	 * @param channels creates the channels to warm up
	 * @param address where this process listens for runners, {@code ip:port}
	 * @param clock a clock that follows the monotonic clock
	 * @return the behavior of the actor
	 */
	public static Behavior<Command> create(RunnerChannel.Factory channels, String address, InstantSource clock) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new LeaderWarmUp(context, timers, channels, address, clock)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessageEquals(Step.LEADER_KNOWN, this::onLeaderKnown)
			.onMessageEquals(Step.NEXT, this::onNext)
			.onMessageEquals(Step.ANSWERED, this::onAnswered)
			.onMessageEquals(Step.END, this::end)
			.build();
	}

	private Behavior<Command> onLeaderKnown() {
		if (this.sentCount == 0) {
			this.timers.startSingleTimer(Step.NEXT, START_DELAY);
		}
		return this;
	}

	private Behavior<Command> onNext() {
		if (this.sentCount == CONNECTIONS * ORDERS_PER_CONNECTION) {
			return end();
		}
		if (this.sentCount % ORDERS_PER_CONNECTION == 0) {
			close();
			this.channel = Optional
				.of(getContext().spawn(this.channels.create(this.self), "channel-" + this.sentCount));
		}
		this.sentCount++;
		this.sentMillis = this.clock.millis();
		RunnerOrder order = new RunnerOrder.Heartbeat(0, 0, OptionalLong.empty(), 0);
		RunnerDispatch dispatch = new RunnerDispatch(this.self, 0, order, ANSWER_TIMEOUT_MILLIS);
		this.channel.ifPresent((open) -> open.tell(new RunnerChannel.Send(dispatch, () -> true, this.replyTo)));
		return this;
	}

	private Behavior<Command> onAnswered() {
		long pauseMillis = Math.max(MINIMUM_PAUSE_MILLIS, this.clock.millis() - this.sentMillis);
		this.timers.startSingleTimer(Step.NEXT, Duration.ofMillis(pauseMillis));
		return this;
	}

	private Behavior<Command> end() {
		logger.atInfo().log("Warm-up ended after %d orders.", this.sentCount);
		close();
		return Behaviors.ignore();
	}

	private void close() {
		this.channel.ifPresent((open) -> open.tell(RunnerChannel.Close.INSTANCE));
		this.channel = Optional.empty();
	}

	/** Messages that the actor accepts. */
	public sealed interface Command {

	}

	/** Steps of the warm-up. */
	public enum Step implements Command {

		/** Another member became leader. */
		LEADER_KNOWN,

		/** The next order is due. */
		NEXT,

		/** An order was answered. */
		ANSWERED,

		/** This member became leader. */
		END

	}

}
