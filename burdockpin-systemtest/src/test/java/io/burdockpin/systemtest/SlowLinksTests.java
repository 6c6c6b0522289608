package io.burdockpin.systemtest;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Links that delay and throttle cost time, but neither changes nor requests. */
class SlowLinksTests {

	private static final String QUEUE = "slow";

	/**
	 * Each chunk waits this long in each direction, and the next one behind it: a round
	 * trip is a tenth of the shortest election timeout and a link passes 40 chunks a
	 * second.
	 */
	private static final long DELAY_MILLIS = 25;

	private static Fleet fleet;

	private static Operator operator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("slow", 2, 4096);
		operator = new Operator(fleet.entries());
		operator.change("create-queue", new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), true));
		// The only runner stands beside the first entry host, so the other one forwards.
		fleet.startRunner("r1", QUEUE, 0, 20);
		fleet.awaitSameConfiguration();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against elections that a late heartbeat starts, and against answers and
	 * changes that a slow link loses. A leader that is heard is never replaced; one
	 * election is allowed for a machine that stalls.
	 */
	@Test
	void requestsAndChangesSucceedAndTheTermGrowsByAtMostOne() {
		awaitService();
		long term = fleet.leader().health().number("term");
		fleet.links().delay(DELAY_MILLIS);
		Load load = new Load(new Caller(QUEUE, Optional.empty()), "slow", false, 10_000);
		fleet.entries().forEach((entry) -> load.start(entry, 4));
		for (int number = 0; number < 40; number++) {
			operator.change("create-" + number,
					new ConfigurationCommand.CreateQueue(new QueueName("queue-" + number), true));
		}
		load.awaitServed(100);
		List<Answer> answers = load.stop();
		Truth.assertThat(answers.stream().filter((answer) -> !answer.isOwnEcho()).toList()).isEmpty();
		fleet.awaitSameConfiguration();
		Truth.assertThat(operator.configuration().queues()).hasSize(41);
		fleet.links().heal();
		Truth.assertThat(fleet.leader().health().number("term")).isAtMost(term + 1);
	}

	private static void awaitService() {
		Load load = new Load(new Caller(QUEUE, Optional.empty()), "before", true, 5_000);
		for (EntryHost entry : fleet.entries()) {
			load.start(entry, 1);
		}
		Await.until("service through each entry host",
				() -> load.answers().stream().filter(Answer::isOwnEcho).count() > 20);
		load.stop();
	}

}
