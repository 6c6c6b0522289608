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
 * One request from its admission to its final outcome. Decides on the claim, on retries
 * and on the truthful answer. Mutable; owned by the actor of the request.
 *
 * @param <T> identifies what an attempt was sent to
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
	 * Creates the record of a request.
	 * @param repeatable whether it may run more than once
	 * @param deadlineMillis when it ends, in milliseconds since the epoch
	 */
	public RequestAttempts(boolean repeatable, long deadlineMillis) {
		this.repeatable = repeatable;
		this.deadlineMillis = deadlineMillis;
	}

	// life cycle

	/**
	 * Starts the request.
	 * @return the effects
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
	 * Takes note of what became of the claim. An undecided claim is sent again until the
	 * deadline, because the request has not been started. At the deadline the outcome is
	 * unknown: although no attempt was made here, another entry host may have run the
	 * request before, which only the decided claim would tell.
	 * @param outcome the outcome
	 * @param nowMillis the current time
	 * @return the effects
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
		if (outcome instanceof ClaimOutcome.StoredResponse kept) {
			return reply(new Relayed(kept.response()));
		}
		return reply(((ClaimOutcome.Denied) outcome).refusal());
	}

	/**
	 * Takes note of an attempt that begins.
	 * @param target what it is sent to
	 * @return {@code false} if the request waits for no attempt, so that it must not be
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
	 * Takes note of how the current attempt ended.
	 * @param result how it ended
	 * @param nowMillis the current time
	 * @return the effects
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
	 * Takes note that no attempt will follow.
	 * @param code the reason
	 * @param message the reason in words
	 * @return the effects
	 */
	public List<RequestEffect> onRefused(ErrorCode code, String message) {
		if (this.state != State.QUEUED) {
			return List.of();
		}
		return conclude(Optional.of(Refused.of(code, message)));
	}

	// access

	/**
	 * Returns what the attempts so far were sent to.
	 * @return the targets, to be avoided by the next attempt
	 */
	public Set<T> failedTargets() {
		return Set.copyOf(this.failedTargets);
	}

	/**
	 * Returns when the request ends.
	 * @return the time in milliseconds since the epoch
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

	/**
	 * Tells whether the caller was answered.
	 * @return whether it was
	 */
	public boolean isCompleted() {
		return this.state == State.COMPLETED;
	}

	// helpers

	// Once a claim is undecided, one that was certainly not proposed decides nothing.
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

	// The claim may be committed later than this.
	private List<RequestEffect> abandonClaim(String reason) {
		List<RequestEffect> effects = new ArrayList<>(List.of(new RequestEffect.ReleaseClaim()));
		effects.addAll(reply(Refused.of(ErrorCode.OUTCOME_UNKNOWN, reason)));
		return effects;
	}

	private List<RequestEffect> enqueue(boolean retry) {
		this.state = State.QUEUED;
		return List.of(new RequestEffect.Enqueue(retry));
	}

	private List<RequestEffect> reply(FinalResponse answer) {
		this.state = State.COMPLETED;
		return List.of(new RequestEffect.Reply(answer));
	}

	private List<RequestEffect> conclude(Optional<Refused> refusal) {
		List<RequestEffect> effects = new ArrayList<>();
		Optional<RunnerResponse> ran = this.lastResult.flatMap(AttemptResult::response);
		if (this.claimed && ran.isPresent()) {
			effects.add(new RequestEffect.FinishClaim(ran.get()));
		}
		else if (this.claimed && !this.mayHaveRun) {
			effects.add(new RequestEffect.ReleaseClaim());
		}
		effects.addAll(reply(ran.<FinalResponse>map(Relayed::new).orElseGet(() -> refusal(refusal))));
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
