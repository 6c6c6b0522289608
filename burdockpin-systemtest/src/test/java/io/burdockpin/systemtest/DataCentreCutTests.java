package io.burdockpin.systemtest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

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
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StartRecords;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** What each side of a cut serves, as section 10.2 of the design says. */
class DataCentreCutTests {

	private static final String QUEUE = "calls";

	/** Served in the third data centre only. */
	private static final String INSIDE_QUEUE = "inside";

	/** Longer than the timeouts of elections, links, peers and proposals. */
	private static final Duration LONGER_THAN_ALL_TIMEOUTS = Duration.ofSeconds(8);

	private static final long SERVICE_MILLIS = 50;

	private static final long TIMEOUT_MILLIS = 5_000;

	private static Fleet fleet;

	private static Operator outsideOperator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("cuts", 3, 4096);
		outsideOperator = new Operator(fleet.entries().subList(0, 2));
		outsideOperator.change("create-queue", new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), true));
		outsideOperator.change("create-inside-queue",
				new ConfigurationCommand.CreateQueue(new QueueName(INSIDE_QUEUE), true));
		fleet.awaitSameConfiguration();
		fleet.startRunnerThatStays("r-inside", INSIDE_QUEUE, 2, SERVICE_MILLIS);
		for (int number = 0; number < 3; number++) {
			fleet.startRunnerThatStays("r" + (number + 1), QUEUE, number, SERVICE_MILLIS);
		}
	}

	@AfterEach
	void healLinks() {
		fleet.links().heal();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against a cut-off data centre that stops serving what it can, or that takes
	 * what only a majority may decide.
	 */
	@Test
	void bothSidesOfASilentCutServeWhatTheyCanAndAgreeAfterwards() {
		EntryHost inside = fleet.entries().get(2);
		awaitService("both-before");
		fleet.links().cut(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		assertServed(serve("both-inside", true, List.of(inside)));
		assertServed(serve("both-outside", false, fleet.entries().subList(0, 2)));
		outsideOperator.change("during-cut", new ConfigurationCommand.CreateQueue(new QueueName("during-cut"), true));
		assertNothingCommittedBy(inside);
		fleet.links().heal();
		awaitAgreement("both-after");
	}

	/**
	 * Guards against a data centre that is heard but hears nothing: it must not keep the
	 * others from electing and must not lead itself.
	 */
	@Test
	void aDataCentreThatHearsNothingDoesNotDisturbTheOthers() {
		awaitService("deaf-before");
		fleet.links().cutOneWay(fleet.hostsOf(1, 2), fleet.hostsOf(3));
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		assertServed(serve("deaf-inside", true, List.of(fleet.entries().get(2))));
		assertServed(serve("deaf-outside", false, fleet.entries().subList(0, 2)));
		outsideOperator.change("deaf", new ConfigurationCommand.CreateQueue(new QueueName("deaf"), true));
		fleet.links().heal();
		awaitAgreement("deaf-after");
	}

	/**
	 * Guards against a request that is forwarded into a data centre that hears nothing,
	 * so that its outcome is unknown although it never ran.
	 */
	@Test
	void aRequestIsNotForwardedIntoADataCentreThatHearsNothing() {
		EntryHost outside = fleet.entries().get(0);
		Caller caller = new Caller(INSIDE_QUEUE, Optional.empty());
		Load before = new Load(caller, "forwarded-before", true, TIMEOUT_MILLIS).start(outside, 1);
		before.awaitServed(4);
		before.stop();
		fleet.links().cutOneWay(fleet.hostsOf(1, 2), fleet.hostsOf(3));
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		Answer answer = caller
			.send(outside,
					new CallerRequest(System.currentTimeMillis() / 1000 + "-forwarded", "once", false, TIMEOUT_MILLIS))
			.join();
		fleet.links().heal();
		awaitAgreement("forwarded-after");
		Truth.assertWithMessage(answer.toString()).that(answer.saysNotRun()).isTrue();
	}

	/** Guards against a data centre that hears the others but is not heard by them. */
	@Test
	void aDataCentreThatIsNotHeardDoesNotDisturbTheOthers() {
		awaitService("mute-before");
		fleet.links().cutOneWay(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		assertServed(serve("mute-inside", true, List.of(fleet.entries().get(2))));
		assertServed(serve("mute-outside", false, fleet.entries().subList(0, 2)));
		outsideOperator.change("mute", new ConfigurationCommand.CreateQueue(new QueueName("mute"), true));
		fleet.links().heal();
		awaitAgreement("mute-after");
	}

	// helpers

	private static void assertNothingCommittedBy(EntryHost inside) {
		CallerRequest request = new CallerRequest(System.currentTimeMillis() / 1000 + "-inside", "once", false,
				TIMEOUT_MILLIS);
		Answer answer = caller().send(inside, request).join();
		Truth.assertThat(answer.status()).isNotEqualTo(200);
		Truth.assertThat(StartRecords.of(fleet.runners()).startedIds()).doesNotContain(request.requestId());
		Truth.assertThat(new Operator(List.of(inside)).hasCurrentAnswer()).isFalse();
	}

	private static void awaitAgreement(String name) {
		fleet.awaitSameConfiguration();
		awaitService(name);
		Truth
			.assertThat(StartRecords.of(fleet.runners())
				.idsStartedTwice()
				.stream()
				.filter((id) -> id.contains("-once-"))
				.toList())
			.isEmpty();
	}

	private static void awaitService(String name) {
		fleet.entries()
			.forEach(
					(entry) -> Await.until("service by " + entry.name(),
							() -> caller()
								.send(entry,
										new CallerRequest(System.currentTimeMillis() / 1000 + "-" + name + "-"
												+ System.nanoTime(), "probe", false, TIMEOUT_MILLIS))
								.join()
								.isOwnEcho()));
	}

	private static List<Answer> serve(String name, boolean repeatable, List<EntryHost> entries) {
		Load load = new Load(caller(), name + (repeatable ? "-again" : "-once"), repeatable, TIMEOUT_MILLIS);
		entries.forEach((entry) -> load.start(entry, 2));
		load.awaitServed(30);
		return load.stop();
	}

	private static void assertServed(List<Answer> answers) {
		Truth.assertThat(answers.stream().filter((answer) -> !answer.isOwnEcho()).toList()).isEmpty();
		Truth.assertThat(NotRunCheck.falseRefusals(answers, StartRecords.of(fleet.runners()))).isEmpty();
	}

	private static Caller caller() {
		return new Caller(QUEUE, Optional.empty());
	}

}
