package io.burdockpin.core.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;

/**
 * Simulates, in virtual time, one request that its caller sends repeatedly to two entry
 * hosts. The control group loses proposals and replies, and commits some proposals late.
 */
final class SimulatedClaims {

	private static final TeamName TEAM = new TeamName("payroll");

	private static final long START_MILLIS = 1_000_000_000;

	private static final RequestId ID = new RequestId(START_MILLIS / 1000 + "-x");

	private static final int SUBMISSIONS = 6;

	private final RandomGenerator random;

	private final ClaimFault fault;

	private final FleetState state = FleetState.empty();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Event.ORDER);

	private final List<Submission> open = new ArrayList<>();

	private long nowMillis = START_MILLIS;

	private long lastNumber;

	private int executionCount;

	private boolean ranAfterUndecidedClaim;

	SimulatedClaims(long seed, ClaimFault fault) {
		this.random = new SplittableRandom(seed);
		this.fault = fault;
	}

	/** Returns whether the request ran after one of its claims was undecided. */
	boolean run() {
		for (int submission = 0; submission < SUBMISSIONS; submission++) {
			at(this.random.nextInt(20_000), this::submit);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		return this.ranAfterUndecidedClaim;
	}

	// A repeated request waits for the response of the one that its host is processing.
	private void submit() {
		Holder holder = new Holder(new HostName("entry-" + this.random.nextInt(2)), 1);
		if (this.open.stream().noneMatch((submission) -> submission.holder.equals(holder))) {
			Submission submission = new Submission(holder, ++this.lastNumber, this.nowMillis + 3_000);
			this.open.add(submission);
			execute(submission, submission.attempts.start());
		}
	}

	private void execute(Submission submission, List<RequestEffect> effects) {
		Optional<Command> claimEnd = Optional.empty();
		for (RequestEffect effect : effects) {
			if (effect instanceof RequestEffect.Claim) {
				claim(submission);
			}
			else if (effect instanceof RequestEffect.RetryClaim) {
				submission.undecided = true;
				at(250, () -> claim(submission));
			}
			else if (effect instanceof RequestEffect.Enqueue) {
				at(this.random.nextInt(4_000), () -> dispatch(submission));
			}
			else if (effect instanceof RequestEffect.ReleaseClaim) {
				claimEnd = Optional.of(new ClaimCommand.ReleaseClaim(TEAM, ID, submission.holder, number(submission)));
			}
			else if (effect instanceof RequestEffect.FinishClaim) {
				claimEnd = Optional
					.of(new ClaimCommand.FinishClaim(TEAM, ID, submission.holder, 200, "", false, Payload.EMPTY));
			}
			else if (effect instanceof RequestEffect.Reply reply) {
				checkResponse(reply.response());
			}
		}
		if (submission.attempts.isCompleted()) {
			claimEnd.ifPresentOrElse((command) -> end(submission, command), () -> this.open.remove(submission));
		}
	}

	private void checkResponse(FinalResponse response) {
		boolean undecided = response instanceof FinalResponse.Refused refused
				&& refused.code() == ErrorCode.OUTCOME_UNKNOWN;
		boolean reportedAsNotRun = undecided && this.fault == ClaimFault.UNDECIDED_AS_NOT_RUN;
		if (reportedAsNotRun || response.outcome() == Outcome.NOT_RUN) {
			Truth.assertWithMessage("runs of a request that is reported as not run")
				.that(this.executionCount)
				.isEqualTo(0);
		}
	}

	private void dispatch(Submission submission) {
		if (this.nowMillis >= submission.attempts.deadlineMillis()) {
			execute(submission,
					submission.attempts.onRefused(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed"));
			return;
		}
		Truth.assertThat(submission.attempts.startAttempt("runner")).isTrue();
		AttemptResult result = result();
		if (result.outcome() != Outcome.NOT_RUN) {
			this.executionCount++;
			this.ranAfterUndecidedClaim |= submission.undecided;
			Truth.assertWithMessage("runs").that(this.executionCount).isEqualTo(1);
		}
		at(this.random.nextInt(500),
				() -> execute(submission, submission.attempts.onAttemptResult(result, this.nowMillis)));
	}

	private AttemptResult result() {
		return switch (this.random.nextInt(3)) {
			case 0 -> AttemptResult.ran(new RunnerResponse(200, "", Payload.EMPTY));
			case 1 -> AttemptResult.unknown(ErrorCode.CONNECTION_FAILED, "lost");
			default -> AttemptResult.notRun(ErrorCode.CONNECTION_FAILED, "refused");
		};
	}

	private void claim(Submission submission) {
		ClaimCommand claim = new ClaimCommand.ClaimRequest(TEAM, ID, submission.holder, number(submission));
		Optional<CommandResult> result = propose(claim);
		// Only a claim that was proposed before is denied here as not proposed.
		boolean notProposed = submission.undecided && this.random.nextInt(4) == 0;
		ClaimOutcome outcome = result.map(SimulatedClaims::outcome)
			.orElseGet(() -> notProposed ? denied(ErrorCode.NO_MAJORITY) : new ClaimOutcome.Undecided("lost"));
		at(this.random.nextInt(1_000),
				() -> execute(submission, submission.attempts.onClaimOutcome(outcome, this.nowMillis)));
	}

	private void end(Submission submission, Command command) {
		if (propose(command).isPresent()) {
			this.open.remove(submission);
		}
		else {
			at(1_000, () -> end(submission, command));
		}
	}

	// For the proposer, a late commit is the same as a lost proposal.
	private Optional<CommandResult> propose(Command command) {
		switch (this.random.nextInt(4)) {
			case 0 -> {
				return Optional.of(apply(command));
			}
			case 1 -> apply(command);
			case 2 -> at(this.random.nextInt(10_000), () -> apply(command));
			default -> {
				// The proposal is lost.
			}
		}
		return Optional.empty();
	}

	private CommandResult apply(Command command) {
		Command applied = command;
		if (command instanceof ClaimCommand.ReleaseClaim release && this.fault == ClaimFault.RELEASE_OF_ANY_CLAIM
				&& !this.state.claims().isEmpty()) {
			applied = new ClaimCommand.ReleaseClaim(TEAM, ID, release.holder(), this.state.claims().get(0).number());
		}
		return this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), applied));
	}

	private OptionalLong number(Submission submission) {
		return OptionalLong.of((this.fault != ClaimFault.NUMBER_REUSED) ? submission.number : 1);
	}

	private static ClaimOutcome outcome(CommandResult result) {
		return (result instanceof CommandResult.Rejected rejected) ? denied(rejected.code())
				: new ClaimOutcome.Granted();
	}

	private static ClaimOutcome denied(ErrorCode code) {
		return new ClaimOutcome.Denied(FinalResponse.Refused.of(code, "denied"));
	}

	private void at(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.events.size(), action));
	}

	private static final class Submission {

		private final Holder holder;

		private final long number;

		private final RequestAttempts<String> attempts;

		private boolean undecided;

		private Submission(Holder holder, long number, long deadlineMillis) {
			this.holder = holder;
			this.number = number;
			this.attempts = new RequestAttempts<>(false, deadlineMillis);
		}

	}

	private record Event(long atMillis, long number, Runnable action) {

		private static final Comparator<Event> ORDER = Comparator.comparingLong(Event::atMillis)
			.thenComparingLong(Event::number);

	}

}
