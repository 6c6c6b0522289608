package io.burdockpin.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.ClaimOutcome;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.retry.RequestAttempts;
import io.burdockpin.core.retry.RequestEffect;
import io.burdockpin.core.retry.RetryBudget;
import io.burdockpin.core.retry.RunnerResponse;

/**
 * Runs the queue, the runner table, the attempts and the retry budget against simulated
 * runners in virtual time. The runners record what they actually execute, and stop at the
 * deadline of a request; the checks compare these records with the decisions.
 */
final class RequestPathSimulation {

	private static final QueueName QUEUE = new QueueName("quotes");

	private static final DataCentre LOCAL = new DataCentre("dc-1");

	private static final int RUNNERS = 3;

	private static final int SLOTS = 2;

	private final RandomGenerator random;

	private final InjectedFault fault;

	private final double failureRate;

	private final RunnerTable table;

	private final RequestQueue queue = new RequestQueue(20);

	private final RetryBudget budget = new RetryBudget();

	private final Map<Long, SimulatedRequest> requests = new TreeMap<>();

	private final Map<Long, Execution> executions = new HashMap<>();

	private long nowMillis = 1_000_000;

	private long lastNumber;

	RequestPathSimulation(long seed, InjectedFault fault, double failureRate) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.fault = fault;
		this.failureRate = failureRate;
		this.table = new RunnerTable(new RunnerTableSettings(3000, 6000, RoutingPolicy.NEAREST_THEN_LEAST_BUSY), LOCAL,
				this.random);
	}

	void run(int steps) {
		for (int step = 0; step < steps; step++) {
			this.nowMillis += this.random.nextInt(40);
			step();
			dispatch();
			checkSlots();
		}
		finish();
	}

	private void step() {
		switch (this.random.nextInt(6)) {
			case 0, 1 -> submit();
			case 2 -> announce();
			case 3, 4 -> endSomeAttempt();
			default -> expire();
		}
	}

	private void finish() {
		this.nowMillis += 20_000;
		expire();
		List.copyOf(this.executions.keySet()).forEach((attempt) -> end(attempt, lost()));
		this.nowMillis += 20_000;
		expire();
		this.requests.values().forEach(SimulatedRequest::check);
	}

	private void submit() {
		if (this.queue.isFull()) {
			return;
		}
		boolean repeatable = this.random.nextBoolean();
		long number = ++this.lastNumber;
		SimulatedRequest request = new SimulatedRequest(repeatable, this.nowMillis + 100 + this.random.nextInt(3000));
		this.requests.put(number, request);
		this.budget.recordRequest(this.nowMillis);
		execute(number, request.attempts.start());
	}

	private void announce() {
		int index = this.random.nextInt(RUNNERS);
		RunnerName name = new RunnerName("runner-" + index);
		this.table.announce(new Runner(name, QUEUE, LOCAL, "127.0.0.1:1", false, SLOTS, 64, 1, (int) running(name),
				this.random.nextInt(8) == 0, OptionalLong.empty()), this.nowMillis);
	}

	private void expire() {
		this.executions.values().removeIf((execution) -> execution.orphaned && execution.endMillis <= this.nowMillis);
		this.table.expire(this.nowMillis);
		for (QueuedRequest expired : this.queue.expire(this.nowMillis)) {
			if (this.fault != InjectedFault.IGNORES_EXPIRED_REQUESTS) {
				execute(expired.number(), this.requests.get(expired.number()).attempts
					.onRefused(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "expired"));
			}
		}
	}

	private void dispatch() {
		Optional<QueuedRequest> next = this.queue.poll((request) -> hasFreeSlot());
		while (next.isPresent()) {
			begin(next.get());
			next = this.queue.poll((request) -> hasFreeSlot());
		}
	}

	private boolean hasFreeSlot() {
		return this.table.capacity(QUEUE, this.nowMillis).freeSlots() > 0;
	}

	private void begin(QueuedRequest queued) {
		long attempt = ++this.lastNumber;
		Runner runner = this.table.beginAttempt(QUEUE, attempt, Set.of(), queued.deadlineMillis(), this.nowMillis)
			.get();
		SimulatedRequest request = this.requests.get(queued.number());
		Truth.assertThat(request.attempts.startAttempt(runner.name())).isTrue();
		boolean refused = this.random.nextDouble() < this.failureRate / 3;
		this.executions.put(attempt, new Execution(queued.number(), runner.name(), queued.deadlineMillis(), refused));
		request.executionCount += refused ? 0 : 1;
	}

	private void endSomeAttempt() {
		List<Long> connected = this.executions.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().orphaned)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		if (!connected.isEmpty()) {
			long attempt = connected.get(this.random.nextInt(connected.size()));
			boolean late = this.executions.get(attempt).endMillis <= this.nowMillis;
			boolean lost = late || this.random.nextDouble() < this.failureRate;
			end(attempt, lost ? lost() : AttemptResult.ran(new RunnerResponse(200, "", Payload.EMPTY)));
		}
	}

	private void end(long attempt, AttemptResult result) {
		Execution execution = this.executions.get(attempt);
		if (execution.orphaned) {
			return;
		}
		AttemptResult reported = execution.refused ? AttemptResult.notRun(ErrorCode.NO_RUNNER, "refused") : result;
		if (reported.outcome() == Outcome.UNKNOWN) {
			// The runner continues without a connection until the deadline.
			execution.orphaned = true;
		}
		else {
			this.executions.remove(attempt);
		}
		boolean frees = this.fault == InjectedFault.FREES_SLOT_OF_UNKNOWN_ATTEMPT;
		this.table.endAttempt(attempt, frees ? Outcome.RAN : reported.outcome(), AttemptVerdict.GOOD, this.nowMillis);
		execute(execution.number,
				this.requests.get(execution.number).attempts.onAttemptResult(reported, this.nowMillis));
	}

	private AttemptResult lost() {
		return (this.fault != InjectedFault.REPORTS_LOST_RESPONSE_AS_NOT_RUN)
				? AttemptResult.unknown(ErrorCode.CONNECTION_FAILED, "lost")
				: AttemptResult.notRun(ErrorCode.CONNECTION_FAILED, "lost");
	}

	private void execute(long number, List<RequestEffect> effects) {
		SimulatedRequest request = this.requests.get(number);
		for (RequestEffect effect : effects) {
			if (effect instanceof RequestEffect.Claim) {
				execute(number, request.attempts.onClaimOutcome(new ClaimOutcome.Granted(), this.nowMillis));
			}
			else if (effect instanceof RequestEffect.Enqueue enqueue) {
				enqueue(number, request, enqueue.retry());
			}
			else if (effect instanceof RequestEffect.Reply reply) {
				request.responses.add(reply.response());
			}
			else if (effect instanceof RequestEffect.ReleaseClaim) {
				Truth.assertWithMessage("a claim is released only if nothing ran")
					.that(request.executionCount)
					.isEqualTo(0);
			}
		}
	}

	private void enqueue(long number, SimulatedRequest request, boolean retry) {
		boolean permitted = !retry || this.budget.tryRetry(this.nowMillis);
		QueuedRequest queued = new QueuedRequest(number, Optional.of(new TeamName("t" + number % 2)), 1,
				request.attempts.deadlineMillis());
		if (!permitted || !this.queue.offer(queued)) {
			execute(number, request.attempts.onRefused(ErrorCode.QUEUE_FULL, "queue full or no retry budget"));
		}
	}

	private void checkSlots() {
		for (int index = 0; index < RUNNERS; index++) {
			RunnerName name = new RunnerName("runner-" + index);
			Truth.assertWithMessage("requests running on " + name).that(running(name)).isAtMost(SLOTS);
		}
	}

	private long running(RunnerName name) {
		return this.executions.values()
			.stream()
			.filter((execution) -> execution.runner.equals(name) && !execution.refused)
			.filter((execution) -> execution.endMillis > this.nowMillis)
			.count();
	}

	private final class SimulatedRequest {

		private final boolean repeatable;

		private final RequestAttempts<RunnerName> attempts;

		private final List<FinalResponse> responses = new ArrayList<>();

		private int executionCount;

		private SimulatedRequest(boolean repeatable, long deadlineMillis) {
			this.repeatable = repeatable;
			boolean treatedAsRepeatable = repeatable
					|| RequestPathSimulation.this.fault == InjectedFault.RETRIES_REQUESTS_THAT_ARE_NOT_REPEATABLE;
			this.attempts = new RequestAttempts<>(treatedAsRepeatable, deadlineMillis);
		}

		private void check() {
			Truth.assertWithMessage("responses to a request").that(this.responses).hasSize(1);
			if (!this.repeatable) {
				Truth.assertWithMessage("executions of a request that is not repeatable")
					.that(this.executionCount)
					.isAtMost(1);
			}
			if (this.responses.get(0).outcome() == Outcome.NOT_RUN) {
				Truth.assertWithMessage("executions of a request reported as not run")
					.that(this.executionCount)
					.isEqualTo(0);
			}
		}

	}

	private static final class Execution {

		private final long number;

		private final RunnerName runner;

		private final long endMillis;

		private final boolean refused;

		private boolean orphaned;

		private Execution(long number, RunnerName runner, long endMillis, boolean refused) {
			this.number = number;
			this.runner = runner;
			this.endMillis = endMillis;
			this.refused = refused;
		}

	}

}
