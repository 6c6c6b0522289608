package io.burdockpin.entry.operator;

import java.util.LinkedHashMap;
import java.util.Map;

import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Owns the file of uncommitted withdrawals and, on start, submits those of an earlier
 * incarnation again. Runs on the dispatcher for blocking calls.
 */
final class WithdrawalFileActor extends AbstractBehavior<WithdrawalFileActor.Command> {

	private final WithdrawalFile file;

	private final Map<RequestId, OperatorRequest.WithdrawKey> withdrawals = new LinkedHashMap<>();

	private WithdrawalFileActor(ActorContext<Command> context, WithdrawalFile file, ActorRef<OperatorCommand> owner) {
		super(context);
		this.file = file;
		file.load().forEach((withdrawal) -> {
			this.withdrawals.put(withdrawal.requestId(), withdrawal);
			owner.tell(new OperatorCommand(withdrawal, context.getSystem().ignoreRef()));
		});
	}

	// life cycle

	static Behavior<Command> create(WithdrawalFile file, ActorRef<OperatorCommand> owner) {
		return Behaviors.setup((context) -> new WithdrawalFileActor(context, file, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Save.class, this::onSave).onMessage(Remove.class, this::onRemove).build();
	}

	private Behavior<Command> onSave(Save command) {
		this.withdrawals.put(command.request().requestId(), command.request());
		this.file.save(this.withdrawals.values());
		command.replyTo().tell(Done.getInstance());
		return this;
	}

	private Behavior<Command> onRemove(Remove command) {
		if (this.withdrawals.remove(command.requestId()) != null) {
			this.file.save(this.withdrawals.values());
		}
		return this;
	}

	/** Messages of this actor. */
	sealed interface Command {

	}

	/**
	 * Saves a withdrawal, so that it survives a restart.
	 *
	 * @param request the withdrawal
	 * @param replyTo notified after the file was written
	 */
	record Save(OperatorRequest.WithdrawKey request, ActorRef<Done> replyTo) implements Command {

	}

	/**
	 * Removes a withdrawal whose result is known.
	 *
	 * @param requestId the identifier of the withdrawal
	 */
	record Remove(RequestId requestId) implements Command {

	}

}
