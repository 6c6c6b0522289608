package io.burdockpin.batch.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.runtime.http.socket.SendCondition;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.ActorContext;

/**
 * Supervises the channels of each runner: one for heartbeats, which the runner may answer
 * late (long polling), and one for all other orders. If a channel fails, its order is
 * reported as unanswered, so that the session sends it again, and the next order gets a
 * new channel. Mutable; owned by the {@link SchedulerActor}.
 */
final class RunnerChannels {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ActorContext<SchedulerCommand> context;

	private final RunnerChannel.Factory factory;

	private final ActorRef<RunnerChannel.Answered> replyTo;

	private final Map<RunnerKey, Channels> channels = new HashMap<>();

	private long spawnCount;

	RunnerChannels(ActorContext<SchedulerCommand> context, RunnerChannel.Factory factory,
			ActorRef<RunnerChannel.Answered> replyTo) {
		this.context = context;
		this.factory = factory;
		this.replyTo = replyTo;
	}

	void send(RunnerDispatch dispatch, SendCondition condition) {
		RunnerRecord runner = dispatch.runner();
		Channels known = this.channels.get(runner.key());
		if (known == null || !known.address().equals(runner.address())) {
			close(runner.key());
			known = new Channels(runner.address(), new Channel(), new Channel());
			this.channels.put(runner.key(), known);
		}
		Channel channel = known.of(dispatch.order());
		// The open order is of an earlier session with the runner. Its reply must not be
		// taken for that to the next order.
		if (channel.inFlight.isPresent()) {
			channel.close();
		}
		if (channel.actor.isEmpty()) {
			channel.actor = Optional.of(spawn(runner));
		}
		channel.inFlight = Optional.of(dispatch);
		channel.actor.get().tell(new RunnerChannel.Send(dispatch, condition, this.replyTo));
	}

	void onAnswered(RunnerChannel.Answered answer) {
		RunnerDispatch answered = answer.dispatch();
		Channels known = this.channels.get(answered.runner().key());
		if (known != null) {
			Channel channel = known.of(answered.order());
			channel.inFlight = channel.inFlight.filter((dispatch) -> dispatch != answered);
		}
	}

	/**
	 * Handles the end of a channel. A channel that was not closed has failed; it may have
	 * sent its order before.
	 * @param key the incarnation of the runner
	 * @param actor the channel
	 */
	void onStopped(RunnerKey key, ActorRef<RunnerChannel.Command> actor) {
		Channels known = this.channels.get(key);
		if (known == null) {
			return;
		}
		known.all().stream().filter((channel) -> channel.actor.equals(Optional.of(actor))).forEach((channel) -> {
			logger.atWarning().log("The channel to runner %s at %s has failed.", key, known.address());
			channel.actor = Optional.empty();
			channel.inFlight.ifPresent((dispatch) -> this.replyTo
				.tell(new RunnerChannel.Answered(dispatch, RunnerReply.NoAnswer.UNKNOWN)));
		});
	}

	void close(RunnerKey key) {
		Channels closed = this.channels.remove(key);
		if (closed != null) {
			closed.all().forEach(Channel::close);
		}
	}

	void retain(Predicate<RunnerKey> isNeeded) {
		List.copyOf(this.channels.keySet()).stream().filter((key) -> !isNeeded.test(key)).forEach(this::close);
	}

	private ActorRef<RunnerChannel.Command> spawn(RunnerRecord runner) {
		this.spawnCount++;
		ActorRef<RunnerChannel.Command> actor = this.context.spawn(this.factory.create(runner),
				"runner-channel-" + this.spawnCount);
		this.context.watchWith(actor, new SchedulerCommand.ChannelStopped(runner.key(), actor));
		return actor;
	}

	private record Channels(String address, Channel orders, Channel heartbeats) {

		private Channel of(RunnerOrder order) {
			return (order instanceof RunnerOrder.Heartbeat) ? this.heartbeats : this.orders;
		}

		private List<Channel> all() {
			return List.of(this.orders, this.heartbeats);
		}

	}

	/** One channel, spawned with its first order. Mutable. */
	private static final class Channel {

		private Optional<ActorRef<RunnerChannel.Command>> actor = Optional.empty();

		private Optional<RunnerDispatch> inFlight = Optional.empty();

		private void close() {
			this.actor.ifPresent((open) -> open.tell(RunnerChannel.Close.INSTANCE));
			this.actor = Optional.empty();
			this.inFlight = Optional.empty();
		}

	}

}
