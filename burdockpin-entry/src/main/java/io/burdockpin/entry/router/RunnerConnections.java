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
 * Connection pool for the runners. A repeatable request reuses an idle connection if
 * there is one. Any other request gets a new connection, because a runner may close an
 * idle connection at the moment a request is sent, which would make the outcome unknown.
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
		// If the connection is not idle here, an attempt was already sent to its actor,
		// which
		// returns it with NotSent.
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

	private ActorRef<RunnerConnection.Command> open(RunnerAttachment attachment) {
		return getContext().spawnAnonymous(RunnerConnection.create(this.connector, attachment, this.materializer,
				this.metrics, getContext().getSelf()));
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
	 * Starts an attempt on a runner.
	 *
	 * @param attachment the runner
	 * @param call the request to send
	 * @param repeatable whether the request may be sent on a reused connection
	 * @param replyTo receives the result
	 */
	record Attempt(RunnerAttachment attachment, RunnerCall call, boolean repeatable,
			ActorRef<AttemptReport> replyTo) implements Command {

	}

	/**
	 * Sets the limits for idle connections.
	 *
	 * @param limits maximum number of idle connections by runner; none for a missing one
	 */
	record LimitIdle(Map<RunnerAttachment, Integer> limits) implements Command {

		LimitIdle {
			limits = Map.copyOf(limits);
		}

	}

	/**
	 * A connection can be reused.
	 *
	 * @param attachment the runner at its other end
	 * @param connection the idle connection
	 */
	record ConnectionIdle(RunnerAttachment attachment,
			ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	/**
	 * The runner closed an idle connection.
	 *
	 * @param connection the connection; it waits for {@link RunnerConnection.Close}
	 */
	record ConnectionClosed(ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	/**
	 * A connection was closed before any byte of an attempt was sent.
	 *
	 * @param attempt the attempt, which is retried on a new connection
	 * @param connection the closed connection
	 */
	record NotSent(Attempt attempt, ActorRef<RunnerConnection.Command> connection) implements Command {

	}

	private enum Sweep implements Command {

		INSTANCE

	}

}
