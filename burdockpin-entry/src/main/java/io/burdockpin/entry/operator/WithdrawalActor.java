package io.burdockpin.entry.operator;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.entry.router.RouterCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Withdraws one key: immediately on this entry host, then on the other entry hosts and in
 * the replicated log, where the proposal is retried until its result is known. If the
 * first proposal has no result, the withdrawal is saved on disk, given a data folder,
 * before the operator gets the reply that it is not committed.
 */
final class WithdrawalActor extends AbstractBehavior<WithdrawalActor.Message> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration PROPOSAL_RETRY_DELAY = Duration.ofSeconds(1);

	private final TimerScheduler<Message> timers;

	private final OperatorRequest.WithdrawKey request;

	private final ActorRef<OperatorReply> replyTo;

	private final long proposalMillis;

	private final ActorRef<ControlCommand> control;

	private final ActorRef<PeerCommand> peers;

	private final Optional<ActorRef<WithdrawalFileActor.Command>> file;

	private boolean saveRequested;

	private boolean saved;

	private Optional<List<DataCentre>> unconfirmed = Optional.empty();

	private Optional<CallResult> firstResult = Optional.empty();

	private boolean replied;

	private WithdrawalActor(ActorContext<Message> context, TimerScheduler<Message> timers,
			OperatorRequest.WithdrawKey request, ActorRef<OperatorReply> replyTo, long proposalMillis,
			ActorRef<ControlCommand> control, ActorRef<RouterCommand> router, ActorRef<PeerCommand> peers,
			Optional<ActorRef<WithdrawalFileActor.Command>> file) {
		super(context);
		this.timers = timers;
		this.request = request;
		this.replyTo = replyTo;
		this.proposalMillis = proposalMillis;
		this.control = control;
		this.peers = peers;
		this.file = file;
		this.saved = file.isEmpty();
		router.tell(new RouterCommand.WithdrawKeys(List.of(request.keyHash()),
				context.messageAdapter(Done.class, (done) -> new AppliedLocally())));
	}

	// life cycle

	static Behavior<Message> create(OperatorRequest.WithdrawKey request, ActorRef<OperatorReply> replyTo,
			long proposalMillis, ActorRef<ControlCommand> control, ActorRef<RouterCommand> router,
			ActorRef<PeerCommand> peers, Optional<ActorRef<WithdrawalFileActor.Command>> file) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new WithdrawalActor(context, timers,
				request, replyTo, proposalMillis, control, router, peers, file)));
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessage(AppliedLocally.class, (message) -> onAppliedLocally())
			.onMessage(PeersReplied.class, this::onPeersReplied)
			.onMessage(Proposed.class, this::onProposed)
			.onMessage(Saved.class, (message) -> onSaved())
			.onMessage(RetryProposal.class, (message) -> propose())
			.build();
	}

	private Behavior<Message> onAppliedLocally() {
		logger.atInfo().log("Key %s is withdrawn on this entry host.", this.request.keyHash().abbreviated());
		this.peers.tell(new PeerCommand.WithdrawKey(this.request.keyHash(), peerReplies()));
		return propose();
	}

	private Behavior<Message> onPeersReplied(PeersReplied message) {
		this.unconfirmed = Optional.of(message.unconfirmed());
		return replyIfComplete();
	}

	private Behavior<Message> onProposed(Proposed message) {
		this.firstResult = this.firstResult.or(() -> Optional.of(message.result()));
		if (!(message.result() instanceof CallResult.Answered)) {
			this.timers.startSingleTimer(new RetryProposal(), PROPOSAL_RETRY_DELAY);
			save();
			return replyIfComplete();
		}
		this.saved = true;
		this.file.ifPresent((target) -> target.tell(new WithdrawalFileActor.Remove(this.request.requestId())));
		replyIfComplete();
		return this.replied ? Behaviors.stopped() : this;
	}

	private Behavior<Message> onSaved() {
		this.saved = true;
		return replyIfComplete();
	}

	// helpers

	private void save() {
		if (!this.saveRequested) {
			this.saveRequested = true;
			ActorRef<Done> done = getContext().messageAdapter(Done.class, (message) -> new Saved());
			this.file.ifPresent((target) -> target.tell(new WithdrawalFileActor.Save(this.request, done)));
		}
	}

	private Behavior<Message> propose() {
		this.control.tell(new ControlCommand.Call(
				(correlation) -> new ClientMessage.Propose(correlation, Optional.of(this.request.requestId()),
						OptionalLong.empty(), new ConfigurationCommand.WithdrawKey(this.request.keyHash())),
				this.proposalMillis, getContext().messageAdapter(CallResult.class, Proposed::new)));
		return this;
	}

	private Behavior<Message> replyIfComplete() {
		if (this.replied || !this.saved || this.unconfirmed.isEmpty() || this.firstResult.isEmpty()) {
			return this;
		}
		this.replied = true;
		this.replyTo.tell(toReply(this.firstResult.get(), this.unconfirmed.get()));
		return (this.firstResult.get() instanceof CallResult.Answered) ? Behaviors.stopped() : this;
	}

	private static OperatorReply toReply(CallResult result, List<DataCentre> unconfirmed) {
		if (!(result instanceof CallResult.Answered)) {
			return new OperatorReply.Withdrawn(false, unconfirmed);
		}
		OperatorReply reply = OperatorCallActor.reply(result);
		return (reply instanceof OperatorReply.Failed) ? reply : new OperatorReply.Withdrawn(true, unconfirmed);
	}

	@SuppressWarnings("unchecked")
	private ActorRef<List<DataCentre>> peerReplies() {
		Class<List<DataCentre>> type = (Class<List<DataCentre>>) (Class<?>) List.class;
		return getContext().messageAdapter(type, PeersReplied::new);
	}

	sealed interface Message {

	}

	private record AppliedLocally() implements Message {

	}

	private record PeersReplied(List<DataCentre> unconfirmed) implements Message {

	}

	private record Proposed(CallResult result) implements Message {

	}

	private record Saved() implements Message {

	}

	private record RetryProposal() implements Message {

	}

}
