package io.burdockpin.systemtest;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Promise P10: a stop by SIGTERM cuts no request in flight. */
class PlannedStopTests {

	private static final String QUEUE = "calls";

	/** Longer than the grace for the balancer, so that requests outlive the listener. */
	private static final long SERVICE_MILLIS = 3_000;

	private static final long TIMEOUT_MILLIS = 20_000;

	private static Fleet fleet;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("stops", 2, 4096);
		new Operator(fleet.entries()).change("create-queue",
				new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), true));
		fleet.awaitSameConfiguration();
		fleet.startRunner("r1", QUEUE, 0, SERVICE_MILLIS);
		fleet.startRunner("r2", QUEUE, 1, SERVICE_MILLIS);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against an entry host that drops its requests or their claims when it ends.
	 */
	@Test
	void anEntryHostThatIsAskedToEndAnswersEveryRequestInFlight() {
		EntryHost stopped = fleet.entries().get(0);
		Load load = load("entry").start(stopped, 6).start(fleet.entries().get(1), 2);
		load.awaitServed(8);
		load.awaitServed(1);
		stopped.process().askToEnd();
		List<Answer> answers = load.stop();
		Truth.assertThat(stopped.process().awaitEnd()).isEqualTo(0);
		stopped.process().start();
		Truth.assertThat(notServed(answers)).isEmpty();
		Await.until("service after the restart", () -> stopped.health().number("configurationIndex") > 0);
	}

	/**
	 * Guards against claims that are lost while the leadership goes to another member.
	 */
	@Test
	void aControlLeaderThatIsAskedToEndDisturbsNoRequest() {
		ControlMember stopped = fleet.leader();
		Load load = load("leader").start(fleet.entries().get(1), 6);
		load.awaitServed(6);
		int status = stopped.process().terminate();
		load.awaitServed(12);
		List<Answer> answers = load.stop();
		stopped.process().start();
		Truth.assertThat(status).isEqualTo(0);
		Truth.assertThat(notServed(answers)).isEmpty();
		Truth.assertThat(fleet.leader()).isNotEqualTo(stopped);
	}

	// helpers

	private static Load load(String name) {
		return new Load(new Caller(QUEUE, Optional.empty()), name, false, TIMEOUT_MILLIS);
	}

	private static List<Answer> notServed(List<Answer> answers) {
		return answers.stream().filter((answer) -> !answer.isOwnEcho()).toList();
	}

}
