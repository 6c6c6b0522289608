package io.burdockpin.systemtest;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.NotRunCheck;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StandInRunner;
import io.burdockpin.systemtest.fleet.StartRecords;
import io.burdockpin.testbench.runner.RunnerBehaviour;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Promises P6, P7 and P9: runners that leave, fail, lie or disappear. */
class RunnerFailureTests {

	private static final long SERVICE_MILLIS = 100;

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int CALLERS = 4;

	private static Fleet fleet;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("runners", 2, 4096);
		Operator operator = new Operator(fleet.entries());
		List.of("leaving", "lost", "answers", "swapped")
			.forEach((queue) -> operator.change("create-" + queue,
					new ConfigurationCommand.CreateQueue(new QueueName(queue), true)));
		fleet.awaitSameConfiguration();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against an entry host that goes on sending to a leaving runner, and against
	 * a runner that ends with requests in flight.
	 */
	@Test
	void aLeavingRunnerGetsNoNewWorkAndEndsItsRequestsInFlight() {
		StandInRunner leaving = fleet.startRunner("leaving-1", "leaving", 0, SERVICE_MILLIS);
		StandInRunner staying = fleet.startRunner("leaving-2", "leaving", 1, SERVICE_MILLIS);
		// On a busy machine the runners may need most of a timeout to start.
		awaitServiceAtEachEntryHost("leaving");
		Load load = load("leaving", false);
		load.awaitServed(40);
		leaving.behave(RunnerBehaviour.SLOW);
		load.awaitServed(10);
		leaving.process().askToEnd();
		long sentAfterwards = 0;
		while (leaving.process().isAlive()) {
			sentAfterwards = Math.max(sentAfterwards, countOr(leaving, "startedWhileLeaving", sentAfterwards));
		}
		load.awaitServed(20);
		List<Answer> answers = load.stop();
		staying.process().terminate();
		Truth.assertThat(sentAfterwards).isEqualTo(0);
		Truth.assertThat(leaving.process().awaitEnd()).isEqualTo(0);
		Truth.assertThat(answers.stream().filter((answer) -> !answer.isOwnEcho()).toList()).isEmpty();
	}

	/** Guards against callers that wait for runners which no longer exist. */
	@Test
	void callersAreServedByTheRestWhenHalfOfTheRunnersAreLostAtOnce() {
		List<StandInRunner> runners = List.of(fleet.startRunner("lost-1", "lost", 0, SERVICE_MILLIS),
				fleet.startRunner("lost-2", "lost", 0, SERVICE_MILLIS),
				fleet.startRunner("lost-3", "lost", 1, SERVICE_MILLIS),
				fleet.startRunner("lost-4", "lost", 1, SERVICE_MILLIS));
		// On a busy machine the runners may need most of a timeout to start.
		awaitServiceAtEachEntryHost("lost");
		Load repeatable = load("lost", true);
		Load once = load("lost", false);
		repeatable.awaitServed(40);
		once.awaitServed(40);
		runners.subList(1, 3).forEach((runner) -> runner.process().kill());
		repeatable.awaitServed(100);
		once.awaitServed(100);
		List<Answer> retried = repeatable.stop();
		List<Answer> answers = once.stop();
		StartRecords starts = StartRecords.of(runners);
		runners.stream().filter((runner) -> runner.process().isAlive()).forEach((runner) -> runner.process().kill());
		Truth.assertThat(retried.stream().filter((answer) -> !answer.isOwnEcho()).toList()).isEmpty();
		Truth.assertThat(NotRunCheck.falseRefusals(answers, starts)).isEmpty();
		Truth.assertThat(starts.idsStartedTwice().stream().filter((id) -> id.contains("once")).toList()).isEmpty();
	}

	/** Guards against passing on an answer that is cut, late or of another attempt. */
	@Test
	void eachCallerGetsTheWholeAnswerToItsOwnRequestFromRunnersThatFail() {
		List<StandInRunner> runners = List.of(fleet.startRunner("answers-1", "answers", 0, SERVICE_MILLIS),
				fleet.startRunner("answers-2", "answers", 0, SERVICE_MILLIS),
				fleet.startRunner("answers-3", "answers", 1, SERVICE_MILLIS),
				fleet.startRunner("answers-4", "answers", 1, SERVICE_MILLIS));
		Load load = load("answers", true);
		load.awaitServed(20);
		runners.get(1).behave(RunnerBehaviour.CUT_SHORT);
		runners.get(2).behave(RunnerBehaviour.WRONG_ATTEMPT);
		load.awaitServed(60);
		runners.get(1).behave(RunnerBehaviour.DELAYED);
		load.awaitServed(60);
		List<Answer> answers = load.stop();
		runners.forEach((runner) -> runner.process().kill());
		Truth.assertThat(answers.stream().filter((answer) -> answer.status() == 200 && !answer.isOwnEcho()).toList())
			.isEmpty();
	}

	/**
	 * Guards against an entry host that does not look at the attempt of an answer: with
	 * only such answers no caller may be served.
	 */
	@Test
	void anAnswerWithTheIdentifierOfAnotherAttemptReachesNoCaller() {
		StandInRunner runner = fleet.startRunner("swapped-1", "swapped", 0, SERVICE_MILLIS);
		Load served = new Load(caller("swapped"), "swapped-before", false, TIMEOUT_MILLIS).start(fleet.entries().get(0),
				1);
		served.awaitServed(3);
		served.stop();
		runner.behave(RunnerBehaviour.WRONG_ATTEMPT);
		long endedBefore = runner.count("ended");
		Load load = new Load(caller("swapped"), "swapped", false, TIMEOUT_MILLIS).start(fleet.entries().get(0), 2);
		Await.until("answers of the runner", () -> runner.count("ended") >= endedBefore + 2);
		List<Answer> answers = load.stop();
		runner.process().kill();
		Truth.assertThat(answers.stream().filter((answer) -> answer.status() == 200).toList()).isEmpty();
		Truth.assertThat(NotRunCheck.falseRefusals(answers, StartRecords.of(List.of(runner)))).isEmpty();
	}

	// helpers

	private static Caller caller(String queue) {
		return new Caller(queue, Optional.empty());
	}

	private static void awaitServiceAtEachEntryHost(String queue) {
		for (int number = 0; number < fleet.entries().size(); number++) {
			Load first = new Load(caller(queue), queue + "-first-" + number, true, TIMEOUT_MILLIS)
				.start(fleet.entries().get(number), 1);
			first.awaitServed(4);
			first.stop();
		}
	}

	private static Load load(String queue, boolean repeatable) {
		Load load = new Load(caller(queue), queue + (repeatable ? "-again" : "-once"), repeatable, TIMEOUT_MILLIS);
		for (EntryHost entry : fleet.entries()) {
			load.start(entry, CALLERS);
		}
		return load;
	}

	// The runner may end between the look at its process and the call.
	private static long countOr(StandInRunner runner, String name, long otherwise) {
		try {
			return runner.count(name);
		}
		catch (java.io.UncheckedIOException ex) {
			return otherwise;
		}
	}

}
