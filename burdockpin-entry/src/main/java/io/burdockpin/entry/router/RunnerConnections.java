package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.routing.IdleConnections;
import io.burdockpin.core.routing.RunnerAttachment;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.stream.Materializer;

/**
 * Supervises the connections to runners. A repeatable request gets an idle connection if
 * there is one. Any other request gets a new connection, because a runner may close an
 * idle one at the moment the request is sent, and its outcome would then be unknown.
 */
final class RunnerConnections extends AbstractBehavior<RunnerConnections.Command> {

	private static final int SWEEPS_PER_IDLE_TIME = 4;

	private final EntryIdentity identity;

	private final RunnerConnector connector;

	private final MetricRegistry metrics;

	private final Materializer materializer;

	private final IdleConnections<ActorRef<RunnerConnection.Command>> idle;

	private RunnerConnections(ActorContext<Command> context, EntryIdentity identity, RunnerConnector connector,
			long idleMillis, MetricRegistry metrics) {
		super(context);
		this.identity = identity;
		this.connector = connector;
		this.metrics = metrics;
		this.materializer = Materializer.createMaterializer(context);
		this.idle = new IdleConnections<>(idleMillis);
	}

	// life cycle

	static Behavior<Command> create(EntryIdentity identity, RunnerConnector connector, long idleMillis,
			MetricRegistry metrics) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(Sweep.INSTANCE,
					Duration.ofMillis(Math.max(1, idleMillis / SWEEPS_PER_IDLE_TIME)));
			return new RunnerConnections(context, identity, connector, idleMillis, metrics);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Attempt.class, this::onAttempt)
			.onMessage(ConnectionIdle.class, this::onConnectionIdle)
			.onMessage(ConnectionClosed.class, this::onConnectionClosed)
			.onMessage(NotSent.class, this::onNotSent)
			.onMessage(LimitIdle.class, this::onLimitIdle)
			.onMessage(Sweep.class, (command) -> onSweep())
			.build();
	}

	private Behavior<Command> onAttempt(Attempt attempt) {
		Optional<ActorRef<RunnerConnection.Command>> reused = attempt.repeatable()
				? this.idle.take(attempt.attachment(), this.identity.nowMillis()) : Optional.empty();
		reused.orElseGet(() -> open(attempt.attachment())).tell(new RunnerConnection.Run(attempt));
		return this;
	}

	private Behavior<Command> onConnectionIdle(ConnectionIdle command) {
		if (!this.idle.keep(command.attachment(), command.connection(), this.identity.nowMillis())) {
			close(command.connection());
		}
		return this;
	}

	private Behavior<Command> onConnectionClosed(ConnectionClosed command) {
		// A connection that is not idle here has a request on its way to it. It sends the
		// request back.
		if (this.idle.remove(command.connection())) {
			close(command.connection());
		}
		return this;
	}

	private Behavior<Command> onNotSent(NotSent command) {
		close(command.connection());
		open(command.attempt().attachment()).tell(new RunnerConnection.Run(command.attempt()));
		return this;
	}

	private Behavior<Command> onLimitIdle(LimitIdle command) {
		closeAll(this.idle.updateLimits(command.limits()));
		return this;
	}

	private Behavior<Command> onSweep() {
		closeAll(this.idle.expire(this.identity.nowMillis()));
		return this;
	}

	// helpers

	private ActorRef<RunnerConnection.Command> open(RunnerAttachment life) {
		return getContext().spawnAnonymous(
				RunnerConnection.create(this.connector, life, this.materializer, this.metrics, getContext().getSelf()));
	}

	private void closeAll(List<ActorRef<RunnerConnection.Command>> connections) {
		connections.forEach(RunnerConnections::close);
	}

	private static void close(ActorRef<RunnerConnection.Command> connection) {
		connection.tell(RunnerConnection.Close.INSTANCE);
	}

	sealed interface Command {

	}

	/**
	 * Makes an attempt on a runner.
	 *
	 * @param attachment the runner
	 * @param call what is sent
	 * @param repeatable whether the request may be sent on a used connection
	 * @param replyTo is told how it ended
	 */
	record Attempt(RunnerAttachment attachment, RunnerCall call, boolean repeatable,
			ActorRef<AttemptReport> replyTo) implements Command {

	}

	/**
	 * Names the runners to which idle connections may be kept.
	 *
	 * @param limits how many for each
	 */
	record LimitIdle(Map<RunnerAttachment, Integer> limits) implements Command {

		LimitIdle {
			limits = Map.copyOf(limits);
		}

	}

	/**
	 * A connection can take another request.
	 *
	 * @param attachment what it is connected to
	 * @param connection the connection
	 */
	record ConnectionIdle(RunnerAttachment attachment,
			ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	/**
	 * The runner closed a connection that was idle.
	 *
	 * @param connection the connection
	 */
	record ConnectionClosed(ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	/**
	 * A connection was closed before any byte of an attempt was sent on it.
	 *
	 * @param attempt the attempt
	 * @param connection the connection
	 */
	record NotSent(Attempt attempt, ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	private enum Sweep implements Command {

		INSTANCE

	}

}
