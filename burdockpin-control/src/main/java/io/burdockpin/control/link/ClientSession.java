package io.burdockpin.control.link;

import java.time.Clock;

import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.model.Holder;
import io.burdockpin.runtime.link.LinkCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Session of one connected entry host. Forwards its messages to the replica or the
 * planners, and their replies to the entry host. Stops when the connection is closed.
 */
final class ClientSession extends AbstractBehavior<ClientSession.Command> {

	private final Holder self;

	private final ActorRef<LinkCommand<ClientEnvelope>> link;

	private final ActorRef<ReplicaMessage> replica;

	private final ActorRef<PlannerReport> planner;

	private final Clock clock;

	private final HybridClock hybridClock = new HybridClock();

	private final ActorRef<ClientMessage> replies;

	private ClientSession(ActorContext<Command> context, Holder self, ActorRef<LinkCommand<ClientEnvelope>> link,
			ActorRef<ReplicaMessage> replica, ActorRef<PlannerReport> planner, Clock clock) {
		super(context);
		this.self = self;
		this.link = link;
		this.replica = replica;
		this.planner = planner;
		this.clock = clock;
		this.replies = context.messageAdapter(ClientMessage.class, Reply::new);
	}

	// life cycle

	static Behavior<Command> create(Holder self, ActorRef<LinkCommand<ClientEnvelope>> link,
			ActorRef<ReplicaMessage> replica, ActorRef<PlannerReport> planner, Clock clock) {
		return Behaviors.setup((context) -> new ClientSession(context, self, link, replica, planner, clock));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Received.class, this::onReceived)
			.onMessage(Reply.class, this::onReply)
			.onMessageEquals(End.INSTANCE, this::onEnd)
			.onMessageEquals(Disconnected.INSTANCE, this::onDisconnected)
			.build();
	}

	// helpers

	private Behavior<Command> onReceived(Received command) {
		ClientEnvelope envelope = command.envelope();
		this.hybridClock.merge(envelope.timestamp());
		ClientMessage message = envelope.message();
		boolean isReport = message instanceof ClientMessage.TokenReport
				|| message instanceof ClientMessage.WorkerReports;
		if (isReport) {
			this.planner.tell(new PlannerReport(envelope.sender(), message, this.replies));
		}
		else {
			this.replica.tell(new ReplicaMessage.FromClient(envelope.sender(), message, this.replies));
		}
		return this;
	}

	private Behavior<Command> onReply(Reply command) {
		this.link.tell(new LinkCommand.Send<>(
				new ClientEnvelope(this.self, this.hybridClock.tick(this.clock.millis()), command.message())));
		return this;
	}

	// Replies sent to this session earlier are already queued on the link.
	private Behavior<Command> onEnd() {
		this.link.tell(new LinkCommand.Drain<>());
		return this;
	}

	private Behavior<Command> onDisconnected() {
		this.replica.tell(new ReplicaMessage.ClientDisconnected(this.replies));
		return Behaviors.stopped();
	}

	/** Messages of a session. */
	sealed interface Command {

	}

	record Received(ClientEnvelope envelope) implements Command {

	}

	private record Reply(ClientMessage message) implements Command {

	}

	/** Closes the connection after all replies sent so far. */
	enum End implements Command {

		INSTANCE

	}

	enum Disconnected implements Command {

		INSTANCE

	}

}
