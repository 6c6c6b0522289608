package io.burdockpin.core.retry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.retry.FinalResponse.Refused;
import io.burdockpin.core.retry.FinalResponse.Relayed;

/**
 * Tracks one request from its admission to its final response. Decides on the claim, on
 * retries and on the response, which tells truthfully whether the request ran. Mutable,
 * owned by the actor of the request.
 *
 * @param <T> identifies the target of an attempt
 */
public final class RequestAttempts<T> {

	private static final int MAXIMUM_ATTEMPTS = 8;

	private final boolean repeatable;

	private final long deadlineMillis;

	private final Set<T> failedTargets = new HashSet<>();

	private State state = State.NEW;

	private Optional<T> currentTarget = Optional.empty();

	private Optional<AttemptResult> lastResult = Optional.empty();

	private boolean mayHaveRun;

	private boolean claimed;

	private boolean claimUndecided;

	private int attemptCount;

	/**
	 * Creates the state of a request that has not been started.
	 * @param repeatable whether the request may run more than once
	 * @param deadlineMillis deadline of the request, in milliseconds since the epoch
	 */
	public RequestAttempts(boolean repeatable, long deadlineMillis) {
		this.repeatable = repeatable;
		this.deadlineMillis = deadlineMillis;
	}

	// life cycle

	/**
	 * Starts the request: queues it if it is repeatable, otherwise claims it first.
	 * @return effects to execute, in this order
	 */
	public List<RequestEffect> start() {
		if (this.state != State.NEW) {
			return List.of();
		}
		if (this.repeatable) {
			return enqueue(false);
		}
		this.state = State.CLAIMING;
		return List.of(new RequestEffect.Claim());
	}

	/**
	 * Handles the outcome of the claim. An undecided claim is sent again until the
	 * deadline, because the request has not been started. At the deadline the outcome is
	 * unknown: no attempt was made here, but another entry host may have run the request
	 * before, which only a decided claim would reveal.
	 * @param outcome the outcome of the claim
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<RequestEffect> onClaimOutcome(ClaimOutcome outcome, long nowMillis) {
		if (this.state != State.CLAIMING) {
			return List.of();
		}
		Optional<ClaimOutcome.Undecided> undecided = undecided(outcome);
		if (undecided.isPresent()) {
			this.claimUndecided = true;
			return (nowMillis < this.deadlineMillis) ? List.of(new RequestEffect.RetryClaim())
					: abandonClaim(undecided.get().reason());
		}
		if (outcome instanceof ClaimOutcome.Granted) {
			this.claimed = true;
			return enqueue(false);
		}
		if (outcome instanceof ClaimOutcome.StoredResponse stored) {
			return reply(new Relayed(stored.response()));
		}
		return reply(((ClaimOutcome.Denied) outcome).refusal());
	}

	/**
	 * Starts an attempt.
	 * @param target the target that the request is sent to
	 * @return {@code false} if the request is not waiting for an attempt and must not be
	 * sent
	 */
	public boolean startAttempt(T target) {
		if (this.state != State.QUEUED) {
			return false;
		}
		this.state = State.RUNNING;
		this.currentTarget = Optional.of(target);
		this.attemptCount++;
		return true;
	}

	/**
	 * Handles the end of the current attempt.
	 * @param result the result of the attempt
	 * @param nowMillis the current time
	 * @return effects to execute, in this order
	 */
	public List<RequestEffect> onAttemptResult(AttemptResult result, long nowMillis) {
		if (this.state != State.RUNNING) {
			return List.of();
		}
		this.mayHaveRun |= result.outcome() != Outcome.NOT_RUN;
		this.lastResult = Optional.of(result);
		this.currentTarget.ifPresent(this.failedTargets::add);
		boolean retry = result.permitsRetry(this.repeatable) && nowMillis < this.deadlineMillis
				&& this.attemptCount < MAXIMUM_ATTEMPTS;
		return retry ? enqueue(true) : conclude(Optional.empty());
	}

	/**
	 * Handles the decision that no attempt will follow, for example because the deadline
	 * has passed or the retry budget is exhausted.
	 * @param code reason for the refusal
	 * @param message description of the reason
	 * @return effects to execute, in this order
	 */
	public List<RequestEffect> onRefused(ErrorCode code, String message) {
		if (this.state != State.QUEUED) {
			return List.of();
		}
		return conclude(Optional.of(Refused.of(code, message)));
	}

	// access

	/**
	 * Returns the targets of the attempts that have ended.
	 * @return the targets, which the next attempt avoids if possible
	 */
	public Set<T> failedTargets() {
		return Set.copyOf(this.failedTargets);
	}

	/**
	 * Returns the deadline of the request.
	 * @return the time in milliseconds since the epoch
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

	/**
	 * Tells whether the final response has been decided.
	 * @return {@code true} after the effect {@link RequestEffect.Reply}
	 */
	public boolean isCompleted() {
		return this.state == State.COMPLETED;
	}

	// helpers

	// The denial of a repeated claim that was not proposed says nothing about an earlier
	// undecided one, so the claim stays undecided.
	private Optional<ClaimOutcome.Undecided> undecided(ClaimOutcome outcome) {
		if (outcome instanceof ClaimOutcome.Undecided undecided) {
			return Optional.of(undecided);
		}
		return Optional.of(outcome)
			.filter((ended) -> this.claimUndecided)
			.filter(ClaimOutcome.Denied.class::isInstance)
			.map((ended) -> ((ClaimOutcome.Denied) ended).refusal())
			.filter((refusal) -> refusal.code() == ErrorCode.NO_MAJORITY)
			.map((refusal) -> new ClaimOutcome.Undecided(refusal.message()));
	}

	// The undecided claim may still be committed later, so it is released.
	private List<RequestEffect> abandonClaim(String reason) {
		List<RequestEffect> effects = new ArrayList<>(List.of(new RequestEffect.ReleaseClaim()));
		effects.addAll(reply(Refused.of(ErrorCode.OUTCOME_UNKNOWN, reason)));
		return effects;
	}

	private List<RequestEffect> enqueue(boolean retry) {
		this.state = State.QUEUED;
		return List.of(new RequestEffect.Enqueue(retry));
	}

	private List<RequestEffect> reply(FinalResponse response) {
		this.state = State.COMPLETED;
		return List.of(new RequestEffect.Reply(response));
	}

	private List<RequestEffect> conclude(Optional<Refused> refusal) {
		List<RequestEffect> effects = new ArrayList<>();
		Optional<RunnerResponse> response = this.lastResult.flatMap(AttemptResult::response);
		if (this.claimed && response.isPresent()) {
			effects.add(new RequestEffect.FinishClaim(response.get()));
		}
		else if (this.claimed && !this.mayHaveRun) {
			effects.add(new RequestEffect.ReleaseClaim());
		}
		effects.addAll(reply(response.<FinalResponse>map(Relayed::new).orElseGet(() -> refusal(refusal))));
		return effects;
	}

	private Refused refusal(Optional<Refused> refusal) {
		ErrorCode code = this.lastResult.map(AttemptResult::code)
			.or(() -> refusal.map(Refused::code))
			.orElse(ErrorCode.INTERNAL);
		String message = this.lastResult.map(AttemptResult::message)
			.or(() -> refusal.map(Refused::message))
			.orElse("no attempt was made");
		return new Refused(code, this.mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, message);
	}

	private enum State {

		NEW, CLAIMING, QUEUED, RUNNING, COMPLETED

	}

}
