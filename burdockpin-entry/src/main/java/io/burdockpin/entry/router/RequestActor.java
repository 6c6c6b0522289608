package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.LongFunction;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.ClaimOutcome;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.retry.RequestAttempts;
import io.burdockpin.core.retry.RequestEffect;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.Target;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.core.state.Command;
import io.burdockpin.entry.control.ControlCommand;
import io.burdockpin.entry.peer.PeerCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Processes one admitted request of a caller: proposes the claim, runs attempts, replies
 * to the callers and finishes or releases the claim.
 */
final class RequestActor extends AbstractBehavior<RequestActor.Message> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration CLAIM_RETRY = Duration.ofSeconds(1);

	/** Shorter than an election of the control group, which takes 1 to 2 s. */
	private static final Duration UNDECIDED_CLAIM_RETRY = Duration.ofMillis(250);

	/**
	 * About one minute with {@link #CLAIM_RETRY}. The claim then stays open, and the
	 * response to a resent request is that its outcome is unknown.
	 */
	private static final int MAXIMUM_CLAIM_END_PROPOSALS = 60;

	/** Leaves the other entry host time to reply by itself at the deadline. */
	private static final Duration FORWARD_GRACE = Duration.ofMillis(250);

	private final TimerScheduler<Message> timers;

	private final RequestContext request;

	private final QueuedRequest queued;

	private final RequestAttempts<Target> attempts;

	private final List<ActorRef<FinalResponse>> callers = new ArrayList<>();

	private Optional<FinalResponse> answer = Optional.empty();

	private Optional<Command> claimEnd = Optional.empty();

	private Optional<ActorRef<PeerCommand>> forwardedBy = Optional.empty();

	private long currentAttempt;

	private int claimEndProposalCount;

	private RequestActor(ActorContext<Message> context, TimerScheduler<Message> timers, RequestContext request,
			QueuedRequest queued, ActorRef<FinalResponse> caller) {
		super(context);
		this.timers = timers;
		this.request = request;
		this.queued = queued;
		this.callers.add(caller);
		this.attempts = new RequestAttempts<>(request.caller().admissionRequest().repeatable(),
				queued.deadlineMillis());
	}

	// life cycle

	static Behavior<Message> create(RequestContext request, QueuedRequest queued, ActorRef<FinalResponse> caller) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			RequestActor actor = new RequestActor(context, timers, request, queued, caller);
			actor.execute(actor.attempts.start());
			return actor;
		}));
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessage(Join.class, this::onJoin)
			.onMessage(CallerDisconnected.class, this::onCallerDisconnected)
			.onMessage(ClaimEnded.class, this::onClaimEnded)
			.onMessage(RetryClaim.class, this::onRetryClaim)
			.onMessage(ClaimQueryEnded.class, this::onClaimQueryEnded)
			.onMessage(Dispatched.class, (message) -> onDispatch(message.dispatch()))
			.onMessage(AttemptDone.class, (message) -> onAttemptDone(message.report()))
			.onMessage(ForwardDone.class, (message) -> onForwardDone(message.result()))
			.onMessage(ForwardTimeout.class, this::onForwardTimeout)
			.onMessage(ClaimEndProposed.class, this::onClaimEndProposed)
			.onMessage(RetryClaimEnd.class, (message) -> proposeClaimEnd())
			.build();
	}

	private Behavior<Message> onJoin(Join join) {
		if (this.answer.isPresent()) {
			join.caller().tell(this.answer.get());
		}
		else {
			this.callers.add(join.caller());
		}
		return this;
	}

	private Behavior<Message> onCallerDisconnected(CallerDisconnected message) {
		this.callers.remove(message.caller());
		if (isAbandoned()) {
			this.request.router().tell(new RouterCommand.AbandonRequest(this.queued.number()));
		}
		return this;
	}

	private Behavior<Message> onClaimEnded(ClaimEnded message) {
		if (ClaimReplies.hasRun(message.result())) {
			queryStoredResponse();
			return this;
		}
		return applyClaimOutcome(ClaimReplies.interpret(message.result()));
	}

	private Behavior<Message> onClaimQueryEnded(ClaimQueryEnded message) {
		return applyClaimOutcome(ClaimReplies.storedResponse(message.result()));
	}

	private Behavior<Message> onDispatch(Dispatch dispatch) {
		if (dispatch instanceof Dispatch.NoAttempt noAttempt) {
			return execute(this.attempts.onRefused(noAttempt.code(), noAttempt.message()));
		}
		if (isAbandoned()) {
			reportNotStarted(dispatch.attempt());
			return execute(refuseAbandoned());
		}
		if (dispatch instanceof Dispatch.ToRunner toRunner) {
			return isPastDeadline() ? refuseAfterDeadline(toRunner.attempt()) : startOnRunner(toRunner);
		}
		if (dispatch instanceof Dispatch.ToPeer toPeer) {
			return isPastDeadline() ? refuseAfterDeadline(toPeer.attempt()) : startAtPeer(toPeer);
		}
		return this;
	}

	// The process may have been paused between the decision and the start.
	private Behavior<Message> refuseAfterDeadline(long attempt) {
		reportNotStarted(attempt);
		return execute(this.attempts.onRefused(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed"));
	}

	private Behavior<Message> onAttemptDone(AttemptReport report) {
		return endAttempt(report.result(), report.verdict());
	}

	private Behavior<Message> onForwardDone(AttemptResult result) {
		this.timers.cancel(ForwardTimeout.class);
		this.forwardedBy = Optional.empty();
		return endAttempt(result, AttemptVerdict.NEUTRAL);
	}

	private Behavior<Message> onForwardTimeout(ForwardTimeout message) {
		this.forwardedBy.ifPresent((peers) -> peers.tell(new PeerCommand.CancelForward(this.currentAttempt)));
		return this;
	}

	private Behavior<Message> onClaimEndProposed(ClaimEndProposed message) {
		if (message.result() instanceof CallResult.Answered
				|| this.claimEndProposalCount >= MAXIMUM_CLAIM_END_PROPOSALS) {
			return finish();
		}
		this.timers.startSingleTimer(new RetryClaimEnd(), CLAIM_RETRY);
		return this;
	}

	private Behavior<Message> onRetryClaim(RetryClaim message) {
		claim();
		return this;
	}

	// helpers

	private Behavior<Message> applyClaimOutcome(ClaimOutcome outcome) {
		return execute(this.attempts.onClaimOutcome(outcome, this.request.identity().nowMillis()));
	}

	private Behavior<Message> startOnRunner(Dispatch.ToRunner dispatch) {
		if (!this.attempts.startAttempt(new Target.LocalRunner(dispatch.runner().name()))) {
			reportNotStarted(dispatch.attempt());
			return this;
		}
		this.currentAttempt = dispatch.attempt();
		CallerRequest caller = this.request.caller();
		RunnerCall call = new RunnerCall(dispatch.attempt(), caller.admissionRequest().queue(), caller.requestId(),
				caller.contentType(), caller.body(), remainingMillis(), dispatch.runnerDeadlineMillis());
		dispatch.connections()
			.tell(new RunnerConnections.Attempt(dispatch.runner().attachment(), call,
					caller.admissionRequest().repeatable(),
					getContext().messageAdapter(AttemptReport.class, AttemptDone::new)));
		return this;
	}

	private Behavior<Message> startAtPeer(Dispatch.ToPeer dispatch) {
		if (!this.attempts.startAttempt(new Target.Peer(dispatch.host()))) {
			reportNotStarted(dispatch.attempt());
			return this;
		}
		this.currentAttempt = dispatch.attempt();
		this.forwardedBy = Optional.of(dispatch.peers());
		CallerRequest caller = this.request.caller();
		ForwardRequest forward = new ForwardRequest(dispatch.attempt(), caller.admissionRequest().queue(),
				this.queued.team(), caller.requestId(), caller.admissionRequest().repeatable(), remainingMillis(),
				caller.contentType(), caller.body(), OptionalLong.empty());
		dispatch.peers()
			.tell(new PeerCommand.Forward(dispatch.host(), forward, this.queued.deadlineMillis(),
					getContext().messageAdapter(AttemptResult.class, ForwardDone::new)));
		this.timers.startSingleTimer(ForwardTimeout.class, new ForwardTimeout(),
				Duration.ofMillis(remainingMillis()).plus(FORWARD_GRACE));
		return this;
	}

	private Behavior<Message> endAttempt(AttemptResult result, AttemptVerdict verdict) {
		// After the deadline, another entry host may already hold the token and the
		// claim.
		boolean isLate = result.outcome() == Outcome.RAN && isPastDeadline();
		AttemptResult timely = isLate
				? AttemptResult.unknown(ErrorCode.DEADLINE_EXCEEDED, "the response arrived after the deadline")
				: result;
		List<RequestEffect> effects = this.attempts.onAttemptResult(timely, this.request.identity().nowMillis());
		this.request.router()
			.tell(new RouterCommand.AttemptEnded(this.currentAttempt, result.outcome(), verdict,
					responseOutcome(effects)));
		return execute(effects);
	}

	private static Optional<Outcome> responseOutcome(List<RequestEffect> effects) {
		return effects.stream()
			.filter(RequestEffect.Reply.class::isInstance)
			.map((effect) -> ((RequestEffect.Reply) effect).response().outcome())
			.findFirst();
	}

	private void reportNotStarted(long attempt) {
		this.request.router()
			.tell(new RouterCommand.AttemptEnded(attempt, Outcome.NOT_RUN, AttemptVerdict.NEUTRAL, Optional.empty()));
	}

	private Behavior<Message> execute(List<RequestEffect> effects) {
		effects.forEach(this::execute);
		if (this.answer.isPresent()) {
			return this.claimEnd.isPresent() ? proposeClaimEnd() : finish();
		}
		return this;
	}

	private void execute(RequestEffect effect) {
		if (effect instanceof RequestEffect.Claim) {
			claim();
		}
		else if (effect instanceof RequestEffect.RetryClaim) {
			this.timers.startSingleTimer(new RetryClaim(), UNDECIDED_CLAIM_RETRY);
		}
		else if (effect instanceof RequestEffect.Enqueue enqueue) {
			enqueue(enqueue.retry());
		}
		else if (effect instanceof RequestEffect.FinishClaim finishClaim) {
			this.claimEnd = Optional.of(finishClaim(finishClaim.response()));
		}
		else if (effect instanceof RequestEffect.ReleaseClaim) {
			this.claimEnd = Optional.of(new ClaimCommand.ReleaseClaim(claimTeam(), this.request.caller().requestId(),
					this.request.identity().holder(), OptionalLong.of(this.queued.number())));
		}
		else if (effect instanceof RequestEffect.Reply reply) {
			this.answer = Optional.of(reply.response());
			this.callers.forEach((caller) -> caller.tell(reply.response()));
		}
	}

	private void claim() {
		Command claim = new ClaimCommand.ClaimRequest(claimTeam(), this.request.caller().requestId(),
				this.request.identity().holder(), OptionalLong.of(this.queued.number()));
		long timeoutMillis = Math.min(this.request.proposalMillis(), remainingMillis());
		propose(claim, timeoutMillis, ClaimEnded::new);
	}

	private void enqueue(boolean retry) {
		if (isAbandoned()) {
			refuseAbandoned().forEach(this::execute);
			return;
		}
		this.request.router()
			.tell(new RouterCommand.Enqueue(this.request.caller().admissionRequest().queue(), this.queued, false, retry,
					this.attempts.failedTargets(), getContext().messageAdapter(Dispatch.class, Dispatched::new)));
	}

	private Command finishClaim(RunnerResponse finished) {
		boolean kept = finished.body().lengthBytes() <= this.request.limits().keptAnswerBytes();
		return new ClaimCommand.FinishClaim(claimTeam(), this.request.caller().requestId(),
				this.request.identity().holder(), finished.status(), finished.contentType(), kept,
				kept ? finished.body() : Payload.EMPTY);
	}

	private Behavior<Message> proposeClaimEnd() {
		this.claimEndProposalCount++;
		propose(this.claimEnd.get(), this.request.proposalMillis(), ClaimEndProposed::new);
		return this;
	}

	private void queryStoredResponse() {
		Query query = new Query.ShowClaim(claimTeam(), this.request.caller().requestId());
		call((correlation) -> new ClientMessage.QueryRequest(correlation, query),
				Math.min(this.request.proposalMillis(), remainingMillis()), ClaimQueryEnded::new);
	}

	private void propose(Command command, long timeoutMillis, Function<CallResult, Message> ended) {
		call((correlation) -> new ClientMessage.Propose(correlation, Optional.empty(), OptionalLong.empty(), command),
				timeoutMillis, ended);
	}

	private void call(LongFunction<ClientMessage> message, long timeoutMillis, Function<CallResult, Message> ended) {
		// A request has at most one call in progress, so replacing the message adapter is
		// safe.
		this.request.control()
			.tell(new ControlCommand.Call(message, timeoutMillis,
					getContext().messageAdapter(CallResult.class, ended::apply)));
	}

	private Behavior<Message> finish() {
		logger.atFine().log("Request %s ended.", this.request.caller().requestId());
		this.request.router()
			.tell(new RouterCommand.RequestEnded(this.queued.number(), this.request.caller().requestId(),
					this.answer.get().outcome()));
		return this.request.caller().admissionRequest().repeatable() ? Behaviors.stopped() : awaitRelease();
	}

	// Until the router has removed the request, it may still pass on resends.
	private Behavior<Message> awaitRelease() {
		return newReceiveBuilder().onMessage(Join.class, this::onJoinAfterEnd)
			.onMessage(Release.class, (message) -> Behaviors.stopped())
			.build();
	}

	private Behavior<Message> onJoinAfterEnd(Join join) {
		join.caller().tell(this.answer.get());
		return Behaviors.same();
	}

	private boolean isAbandoned() {
		return this.answer.isEmpty() && this.callers.isEmpty();
	}

	private List<RequestEffect> refuseAbandoned() {
		return this.attempts.onRefused(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the caller disconnected");
	}

	private TeamName claimTeam() {
		return this.queued.team().orElse(RequestContext.OPEN_QUEUE_TEAM);
	}

	private boolean isPastDeadline() {
		return this.queued.deadlineMillis() <= this.request.identity().nowMillis();
	}

	private long remainingMillis() {
		return Math.max(1, this.queued.deadlineMillis() - this.request.identity().nowMillis());
	}

	sealed interface Message {

	}

	record Join(ActorRef<FinalResponse> caller) implements Message {

	}

	record CallerDisconnected(ActorRef<FinalResponse> caller) implements Message {

	}

	/** The router has removed the request and passes on no more resends. */
	record Release() implements Message {

	}

	private record ClaimEnded(CallResult result) implements Message {

	}

	private record RetryClaim() implements Message {

	}

	private record ClaimQueryEnded(CallResult result) implements Message {

	}

	private record Dispatched(Dispatch dispatch) implements Message {

	}

	private record AttemptDone(AttemptReport report) implements Message {

	}

	private record ForwardDone(AttemptResult result) implements Message {

	}

	private record ForwardTimeout() implements Message {

	}

	private record ClaimEndProposed(CallResult result) implements Message {

	}

	private record RetryClaimEnd() implements Message {

	}

}
