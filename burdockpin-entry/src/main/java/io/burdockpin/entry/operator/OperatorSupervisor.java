package io.burdockpin.entry.operator;

import java.nio.file.Path;
import java.util.Optional;

import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.entry.router.RouterCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Starts one child actor for each operator request. */
public final class OperatorSupervisor extends AbstractBehavior<OperatorCommand> {

	private final long proposalMillis;

	private final ActorRef<ControlCommand> control;

	private final ActorRef<RouterCommand> router;

	private final ActorRef<PeerCommand> peers;

	private final Optional<ActorRef<WithdrawalFileActor.Command>> withdrawals;

	private OperatorSupervisor(ActorContext<OperatorCommand> context, long proposalMillis,
			ActorRef<ControlCommand> control, ActorRef<RouterCommand> router, ActorRef<PeerCommand> peers,
			Optional<Path> dataFolder) {
		super(context);
		this.proposalMillis = proposalMillis;
		this.control = control;
		this.router = router;
		this.peers = peers;
		this.withdrawals = dataFolder
			.map((folder) -> context.spawn(WithdrawalFileActor.create(new WithdrawalFile(folder), context.getSelf()),
					"withdrawals", DispatcherSelector.blocking()));
	}

	// life cycle

	/**
	 * Creates the behavior of the supervisor.
	 * @param proposalMillis timeout of a call to the leader
	 * @param control forwards calls to the leader
	 * @param router applies withdrawals on this entry host
	 * @param peers sends withdrawals to the other entry hosts
	 * @param dataFolder folder for uncommitted withdrawals; empty if they need not
	 * survive a restart
	 * @return the behavior
	 */
	public static Behavior<OperatorCommand> create(long proposalMillis, ActorRef<ControlCommand> control,
			ActorRef<RouterCommand> router, ActorRef<PeerCommand> peers, Optional<Path> dataFolder) {
		return Behaviors
			.setup((context) -> new OperatorSupervisor(context, proposalMillis, control, router, peers, dataFolder));
	}

	@Override
	public Receive<OperatorCommand> createReceive() {
		return newReceiveBuilder().onMessage(OperatorCommand.class, this::onCommand).build();
	}

	private Behavior<OperatorCommand> onCommand(OperatorCommand command) {
		if (command.request() instanceof OperatorRequest.WithdrawKey withdrawal) {
			getContext().spawnAnonymous(WithdrawalActor.create(withdrawal, command.replyTo(), this.proposalMillis,
					this.control, this.router, this.peers, this.withdrawals));
		}
		else {
			getContext().spawnAnonymous(OperatorCallActor.create(command, this.proposalMillis, this.control));
		}
		return this;
	}

}
