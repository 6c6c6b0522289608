package io.burdockpin.batch.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.lead.RunnerDispatch;
import io.burdockpin.core.batch.lead.RunnerOrder;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.runtime.http.socket.SendCondition;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.ActorContext;

/**
 * The channels of each runner: one for heartbeats, which the runner may answer late (long
 * polling), and one for all other orders. Mutable; owned by the {@link SchedulerActor}.
 */
final class RunnerChannels {

	private final ActorContext<?> context;

	private final RunnerChannel.Factory factory;

	private final ActorRef<RunnerChannel.Answered> replyTo;

	private final Map<RunnerKey, Channels> channels = new HashMap<>();

	private long spawnCount;

	RunnerChannels(ActorContext<?> context, RunnerChannel.Factory factory, ActorRef<RunnerChannel.Answered> replyTo) {
		this.context = context;
		this.factory = factory;
		this.replyTo = replyTo;
	}

	void send(RunnerDispatch dispatch, SendCondition condition) {
		RunnerRecord runner = dispatch.runner();
		Channels known = this.channels.get(runner.key());
		if (known == null || !known.address().equals(runner.address())) {
			close(runner.key());
			known = new Channels(runner.address(), spawn(runner), spawn(runner));
			this.channels.put(runner.key(), known);
		}
		boolean isHeartbeat = dispatch.order() instanceof RunnerOrder.Heartbeat;
		(isHeartbeat ? known.heartbeats() : known.orders())
			.tell(new RunnerChannel.Send(dispatch.order(), dispatch.answerTimeoutMillis(), condition, this.replyTo));
	}

	void close(RunnerKey key) {
		Channels closed = this.channels.remove(key);
		if (closed != null) {
			closed.heartbeats().tell(RunnerChannel.Close.INSTANCE);
			closed.orders().tell(RunnerChannel.Close.INSTANCE);
		}
	}

	void retain(Predicate<RunnerKey> isNeeded) {
		List.copyOf(this.channels.keySet()).stream().filter((key) -> !isNeeded.test(key)).forEach(this::close);
	}

	private ActorRef<RunnerChannel.Command> spawn(RunnerRecord runner) {
		this.spawnCount++;
		return this.context.spawn(this.factory.create(runner), "runner-channel-" + this.spawnCount);
	}

	private record Channels(String address, ActorRef<RunnerChannel.Command> orders,
			ActorRef<RunnerChannel.Command> heartbeats) {

	}

}
