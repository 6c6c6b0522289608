package io.burdockpin.entry.router;

import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerMessage.ForwardAnswer;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.entry.EntryIdentity;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Runs one attempt on behalf of another entry host, which holds the token and decides on
 * retries.
 */
final class ForwardedRequestActor extends AbstractBehavior<ForwardedRequestActor.Command> {

	private final ForwardRequest request;

	private final Holder sender;

	private final ForwardReplySender reply;

	private final QueuedRequest queued;

	private final EntryIdentity identity;

	private final ActorRef<RouterCommand> router;

	private Optional<Long> localAttempt = Optional.empty();

	private ForwardedRequestActor(ActorContext<Command> context, RouterCommand.SubmitForwarded forwarded,
			QueuedRequest queued, EntryIdentity identity, ActorRef<RouterCommand> router) {
		super(context);
		this.request = forwarded.request();
		this.sender = forwarded.sender();
		this.reply = forwarded.reply();
		this.queued = queued;
		this.identity = identity;
		this.router = router;
		ActorRef<Dispatch> dispatches = context.messageAdapter(Dispatch.class, Dispatched::new);
		router.tell(new RouterCommand.Enqueue(this.request.queue(), queued, true, false, Set.of(), dispatches));
	}

	// life cycle

	static Behavior<Command> create(RouterCommand.SubmitForwarded forwarded, QueuedRequest queued,
			EntryIdentity identity, ActorRef<RouterCommand> router) {
		return Behaviors.setup((context) -> new ForwardedRequestActor(context, forwarded, queued, identity, router));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Dispatched.class, (command) -> onDispatch(command.dispatch()))
			.onMessage(AttemptDone.class, (command) -> onAttemptDone(command.report()))
			.build();
	}

	private Behavior<Command> onDispatch(Dispatch dispatch) {
		if (dispatch instanceof Dispatch.ToRunner toRunner) {
			if (this.queued.deadlineMillis() <= this.identity.nowMillis()) {
				this.router.tell(new RouterCommand.AttemptEnded(toRunner.attempt(), Outcome.NOT_RUN,
						AttemptVerdict.NEUTRAL, Optional.empty()));
				return end(AttemptResult.notRun(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed"));
			}
			this.localAttempt = Optional.of(toRunner.attempt());
			RunnerCall call = new RunnerCall(toRunner.attempt(), this.request.queue(), this.request.requestId(),
					this.request.contentType(), this.request.body(),
					this.queued.deadlineMillis() - this.identity.nowMillis(), toRunner.runnerDeadlineMillis());
			toRunner.connections()
				.tell(new RunnerConnections.Attempt(toRunner.runner().attachment(), call, this.request.repeatable(),
						getContext().messageAdapter(AttemptReport.class, AttemptDone::new)));
			return this;
		}
		if (dispatch instanceof Dispatch.NoAttempt noAttempt) {
			return end(AttemptResult.notRun(noAttempt.code(), noAttempt.message()));
		}
		return end(AttemptResult.notRun(ErrorCode.INTERNAL, "a forwarded request is not forwarded again"));
	}

	private Behavior<Command> onAttemptDone(AttemptReport report) {
		this.localAttempt.ifPresent((attempt) -> this.router.tell(new RouterCommand.AttemptEnded(attempt,
				report.result().outcome(), report.verdict(), Optional.empty())));
		return end(report.result());
	}

	// helpers

	private Behavior<Command> end(AttemptResult result) {
		RunnerResponse answer = result.response().orElse(new RunnerResponse(0, "", Payload.EMPTY));
		Outcome outcome = result.outcome();
		this.reply.send(new ForwardAnswer(this.request.attempt(), this.sender.incarnation(), outcome, result.code(),
				result.message(), answer.status(), answer.contentType(), answer.body()));
		this.router.tell(new RouterCommand.RequestEnded(this.queued.number(), this.request.requestId(), outcome));
		return Behaviors.stopped();
	}

	sealed interface Command {

	}

	private record Dispatched(Dispatch dispatch) implements Command {

	}

	private record AttemptDone(AttemptReport report) implements Command {

	}

}
