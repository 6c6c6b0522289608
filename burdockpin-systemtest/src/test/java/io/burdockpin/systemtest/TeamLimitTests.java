package io.burdockpin.systemtest;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StartRecords;
import io.burdockpin.timeline.model.EventRecord;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Promise P5: no team has more running than its upper limit, over all data centres. */
class TeamLimitTests {

	private static final String KEY = "key-of-the-bookers-0123456789abcdef0123456789abcdef";

	private static final int UPPER_LIMIT = 7;

	private static final long SERVICE_MILLIS = 250;

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int CALLERS = 8;

	private static Fleet fleet;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("limit", 3, 4096);
		Operator operator = new Operator(fleet.entries());
		TeamName team = new TeamName("bookers");
		operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(team, 1, UPPER_LIMIT, 0)));
		operator.change("grant-key", new ConfigurationCommand.GrantKey(team, KeyHash.of(KEY), "test"));
		for (String queue : List.of("limited", "open")) {
			operator.change("create-" + queue,
					new ConfigurationCommand.CreateQueue(new QueueName(queue), queue.equals("open")));
			for (int number = 0; number < 3; number++) {
				fleet.startRunner(queue + number, queue, number, SERVICE_MILLIS);
			}
		}
		fleet.awaitSameConfiguration();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against a cut-off data centre or a restarted entry host whose tokens are
	 * used elsewhere as well. The runners see it, and so does the time line of all
	 * processes.
	 */
	@Test
	void theLimitHoldsThroughACutAndTheRestartOfAnEntryHost() {
		Load load = load("limited", Optional.of(KEY));
		load.awaitServed(30);
		fleet.links().cut(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		load.awaitServed(60);
		EntryHost restarted = fleet.entries().get(1);
		restarted.process().kill();
		load.awaitServed(30);
		restarted.process().start();
		load.awaitServed(30);
		fleet.links().heal();
		load.awaitServed(60);
		load.stop();
		int overlap = overlap("limited");
		Truth.assertThat(overlap).isAtMost(UPPER_LIMIT);
		Truth.assertThat(overlap).isAtLeast(2);
		Truth.assertThat(fleet.brokenPromises()).isEmpty();
		// The planted fault: the same events under a limit that they do not keep.
		String lowLimit = Integer.toString(overlap / 2);
		Truth.assertThat(fleet.brokenPromises((event) -> Stream.of(withLimit(event, lowLimit))).toString())
			.contains("TEAM_ABOVE_LIMIT");
	}

	/**
	 * The planted fault: without a team nothing limits the load, which the check sees.
	 */
	@Test
	void theCheckSeesLoadThatNoLimitHoldsBack() {
		Load load = load("open", Optional.empty());
		Await.until("more than the limit at once", () -> overlap("open") > UPPER_LIMIT);
		load.stop();
	}

	// helpers

	private static EventRecord withLimit(EventRecord event, String limit) {
		Map<String, String> fields = new TreeMap<>(event.fields());
		fields.computeIfPresent(EventField.LIMIT.jsonName(), (name, before) -> limit);
		return new EventRecord(event.hlc(), event.process(), event.kind(), fields);
	}

	private static Load load(String queue, Optional<String> key) {
		Load load = new Load(new Caller(queue, key), queue, true, TIMEOUT_MILLIS);
		fleet.entries().forEach((entry) -> load.start(entry, CALLERS));
		return load;
	}

	private static int overlap(String queue) {
		return StartRecords.of(fleet.runners().stream().filter((runner) -> runner.queue().equals(queue)).toList())
			.largestOverlap();
	}

}
