package io.burdockpin.systemtest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Promise P4: a withdrawn key stops working within seconds, also around cuts. */
class WithdrawnKeyTests {

	/** The frame of the customers for changes that must be in force everywhere. */
	private static final Duration TARGET = Duration.ofSeconds(8);

	private static final String QUEUE = "keyed";

	private static final TeamName TEAM = new TeamName("detailers");

	private static Fleet fleet;

	private static Operator operator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("keys", 3, 4096);
		operator = new Operator(fleet.entries());
		operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 10, 0)));
		operator.change("create-queue", new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), false));
	}

	@AfterEach
	void healLinks() {
		fleet.links().heal();
		fleet.awaitSameConfiguration();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/** Guards against an entry host that hears of a withdrawal late or never. */
	@Test
	void aWithdrawnKeyIsRefusedEverywhereWithinTheTarget() {
		String key = grantedKey("plain");
		OperatorReply.Withdrawn reply = operator.withdraw("withdraw-plain", KeyHash.of(key));
		Await.within("refusal everywhere", TARGET,
				() -> fleet.entries().stream().allMatch((entry) -> refuses(entry, key)));
		Truth.assertThat(reply.committed()).isTrue();
		Truth.assertThat(reply.unconfirmed()).isEmpty();
	}

	/**
	 * Guards against a withdrawal that waits for a majority, and against a reply that
	 * hides where the key still works.
	 */
	@Test
	void aKeyWithdrawnInACutOffDataCentreIsRefusedThereAtOnceAndEverywhereAfterTheCut() {
		String key = grantedKey("inside");
		EntryHost inside = fleet.entries().get(2);
		fleet.links().cut(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		OperatorReply.Withdrawn reply = new Operator(List.of(inside)).withdraw("withdraw-inside", KeyHash.of(key));
		Truth.assertThat(refuses(inside, key)).isTrue();
		Truth.assertThat(reply.committed()).isFalse();
		Truth.assertThat(reply.unconfirmed()).containsAtLeast(new DataCentre("dc1"), new DataCentre("dc2"));
		fleet.links().heal();
		Await.until("refusal everywhere", () -> fleet.entries().stream().allMatch((entry) -> refuses(entry, key)));
		Await.until("withdrawal in the replicated state",
				() -> operator.configuration()
					.keys()
					.stream()
					.anyMatch((record) -> record.hash().equals(KeyHash.of(key)) && record.withdrawn()));
	}

	/**
	 * Guards against a withdrawal that is lost because its entry host restarts before a
	 * majority has heard of it.
	 */
	@Test
	void aWithdrawalThatIsNotCommittedSurvivesTheRestartOfItsEntryHost() {
		String key = grantedKey("restart");
		EntryHost inside = fleet.entries().get(2);
		fleet.links().cut(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		OperatorReply.Withdrawn reply = new Operator(List.of(inside)).withdraw("withdraw-restart", KeyHash.of(key));
		Truth.assertThat(reply.committed()).isFalse();
		inside.process().kill();
		Truth.assertThat(fleet.entries().subList(0, 2).stream().allMatch((entry) -> admits(entry, key))).isTrue();
		inside.process().start();
		Await.until("refusal by the restarted host", () -> refuses(inside, key));
		fleet.links().heal();
		Await.until("refusal everywhere", () -> fleet.entries().stream().allMatch((entry) -> refuses(entry, key)));
		Await.until("withdrawal in the replicated state",
				() -> operator.configuration()
					.keys()
					.stream()
					.anyMatch((record) -> record.hash().equals(KeyHash.of(key)) && record.withdrawn()));
	}

	/** Guards against a data centre that keeps a key after the cut has healed. */
	@Test
	void aKeyWithdrawnOutsideACutOffDataCentreIsRefusedInsideAfterTheCut() {
		String key = grantedKey("outside");
		EntryHost inside = fleet.entries().get(2);
		List<EntryHost> outside = fleet.entries().subList(0, 2);
		fleet.links().cut(fleet.hostsOf(3), fleet.hostsOf(1, 2));
		Await.until("a leader outside", () -> !fleet.leader().name().equals("c3"));
		OperatorReply.Withdrawn reply = new Operator(outside).withdraw("withdraw-outside", KeyHash.of(key));
		Await.within("refusal outside", TARGET, () -> outside.stream().allMatch((entry) -> refuses(entry, key)));
		Truth.assertThat(reply.unconfirmed()).contains(new DataCentre("dc3"));
		fleet.links().heal();
		Await.until("refusal inside", () -> refuses(inside, key));
	}

	// helpers

	// The key must work before its withdrawal, or its refusal would prove nothing.
	private static String grantedKey(String label) {
		String key = "key-" + label + "-0123456789abcdef0123456789abcdef";
		operator.change("grant-" + label, new ConfigurationCommand.GrantKey(TEAM, KeyHash.of(key), label));
		fleet.entries().forEach((entry) -> Await.until("key accepted by " + entry.name(), () -> admits(entry, key)));
		return key;
	}

	private static boolean refuses(EntryHost entry, String key) {
		return send(entry, key).hasCode("KEY_WITHDRAWN");
	}

	// There is no runner, so that an admitted request is refused only at its deadline.
	private static boolean admits(EntryHost entry, String key) {
		return List.of("NO_RUNNER", "TEAM_LIMIT_REACHED", "DEADLINE_EXCEEDED_BEFORE_START")
			.stream()
			.anyMatch(send(entry, key)::hasCode);
	}

	private static Answer send(EntryHost entry, String key) {
		CallerRequest request = new CallerRequest("probe", "probe", true, 300);
		return new Caller(QUEUE, Optional.of(key)).send(entry, request).join();
	}

}
