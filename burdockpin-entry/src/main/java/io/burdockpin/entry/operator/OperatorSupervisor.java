package io.burdockpin.entry.operator;

import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.entry.router.RouterCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Starts one child for each request of an operator. */
public final class OperatorSupervisor extends AbstractBehavior<OperatorCommand> {

	private final long proposalMillis;

	private final ActorRef<ControlCommand> control;

	private final ActorRef<RouterCommand> router;

	private final ActorRef<PeerCommand> peers;

	private OperatorSupervisor(ActorContext<OperatorCommand> context, long proposalMillis,
			ActorRef<ControlCommand> control, ActorRef<RouterCommand> router, ActorRef<PeerCommand> peers) {
		super(context);
		this.proposalMillis = proposalMillis;
		this.control = control;
		this.router = router;
		this.peers = peers;
	}

	// life cycle

	/**
	 * Creates the behavior of the supervisor.
	 * @param proposalMillis how long a proposal may take
	 * @param control calls the leader
	 * @param router refuses withdrawn keys
	 * @param peers tells the other entry hosts of withdrawn keys
	 * @return the behavior
	 */
	public static Behavior<OperatorCommand> create(long proposalMillis, ActorRef<ControlCommand> control,
			ActorRef<RouterCommand> router, ActorRef<PeerCommand> peers) {
		return Behaviors.setup((context) -> new OperatorSupervisor(context, proposalMillis, control, router, peers));
	}

	@Override
	public Receive<OperatorCommand> createReceive() {
		return newReceiveBuilder().onMessage(OperatorCommand.class, this::onCommand).build();
	}

	private Behavior<OperatorCommand> onCommand(OperatorCommand command) {
		if (command.request() instanceof OperatorRequest.WithdrawKey withdrawal) {
			getContext().spawnAnonymous(WithdrawalActor.create(withdrawal, command.replyTo(), this.proposalMillis,
					this.control, this.router, this.peers));
		}
		else {
			getContext().spawnAnonymous(OperatorCallActor.create(command, this.proposalMillis, this.control));
		}
		return this;
	}

}
