package io.burdockpin.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.NotRunCheck;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StartRecords;
import io.burdockpin.testbench.runner.RunnerBehaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Promises P7 and P8: at most one run, and true answers about it. */
class RequestsThatAreNotRepeatableTests {

	private static final String QUEUE = "calls";

	private static final int SNAPSHOT_ENTRIES = 4096;

	private static final long SERVICE_MILLIS = 30;

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int BATCH = 20;

	private final Caller caller = new Caller(QUEUE, Optional.empty());

	private final List<Answer> answers = new ArrayList<>();

	private Fleet fleet;

	@BeforeEach
	void startFleet() {
		this.fleet = Fleet.start("not-repeatable", 2, SNAPSHOT_ENTRIES);
		new Operator(this.fleet.entries()).change("create-queue",
				new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), true));
		this.fleet.awaitSameConfiguration();
		this.fleet.startRunner("r1", QUEUE, 0, SERVICE_MILLIS);
		this.fleet.startRunner("r2", QUEUE, 1, SERVICE_MILLIS);
		this.fleet.entries().forEach(this::awaitService);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a second run by a resend at the other entry host, by a retry after a
	 * cut answer and by an entry host that forgets its claims when it is killed.
	 */
	@Test
	void noRequestRunsTwiceWhileAnEntryHostIsKilledAndARunnerCutsAnswers() {
		EntryHost killed = this.fleet.entries().get(0);
		sendWithResends("whole", 3, false);
		this.fleet.runners().get(1).behave(RunnerBehaviour.CUT_SHORT);
		sendWithResends("cut", 3, false);
		List<CompletableFuture<Answer>> inFlight = submitWithResends("killed", 0, false);
		killed.process().kill();
		collect(inFlight);
		sendWithResends("without-e1", 2, false);
		this.fleet.runners().get(1).behave(RunnerBehaviour.NORMAL);
		killed.process().start();
		awaitService(killed);
		sendWithResends("restarted", 3, false);
		StartRecords starts = StartRecords.of(this.fleet.runners());
		Truth.assertThat(starts.idsStartedTwice()).isEmpty();
		Truth.assertThat(NotRunCheck.falseRefusals(this.answers, starts)).isEmpty();
		Truth.assertThat(this.fleet.brokenPromises()).isEmpty();
		Truth.assertThat(this.answers.stream().filter(Answer::isOwnEcho).count()).isAtLeast(3L * BATCH);
	}

	/**
	 * The planted fault: repeatable requests are retried after a cut answer, which the
	 * check for second runs must see.
	 */
	@Test
	void theCheckSeesRequestsThatAreRetriedAfterACutAnswer() {
		this.fleet.runners().forEach((runner) -> runner.behave(RunnerBehaviour.CUT_SHORT));
		sendWithResends("retried", 1, true);
		Truth.assertThat(StartRecords.of(this.fleet.runners()).idsStartedTwice()).isNotEmpty();
	}

	// helpers

	private void sendWithResends(String what, int batches, boolean repeatable) {
		for (int batch = 0; batch < batches; batch++) {
			collect(submitWithResends(what, batch, repeatable));
		}
	}

	private List<CompletableFuture<Answer>> submitWithResends(String what, int batch, boolean repeatable) {
		List<CompletableFuture<Answer>> sent = new ArrayList<>();
		for (int number = 0; number < BATCH; number++) {
			String requestId = "%d-%s-%d-%d".formatted(System.currentTimeMillis() / 1000, what, batch, number);
			CallerRequest request = new CallerRequest(requestId, "body of " + requestId, repeatable, TIMEOUT_MILLIS);
			this.fleet.entries().forEach((entry) -> sent.add(this.caller.send(entry, request)));
		}
		return sent;
	}

	private void collect(List<CompletableFuture<Answer>> sent) {
		sent.forEach((answer) -> this.answers.add(answer.join()));
	}

	private void awaitService(EntryHost entry) {
		Await.until("service by " + entry.name(),
				() -> this.caller.send(entry, new CallerRequest("probe-" + System.nanoTime(), "probe", true, 1000))
					.join()
					.isOwnEcho());
	}

}
