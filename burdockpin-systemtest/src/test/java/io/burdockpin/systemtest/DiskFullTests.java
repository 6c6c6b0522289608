package io.burdockpin.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * A control member whose disk is full stops cleanly, loses nothing and comes back. A
 * limit on the size of files stands in for the full disk.
 */
class DiskFullTests {

	/** 24 KiB: room for the start, not for the changes of a test. */
	private static final int LIMIT_BLOCKS = 48;

	private static final int MOST_CHANGES = 600;

	private static final int CHANGES_AT_ONCE = 20;

	private static final List<String> accepted = new ArrayList<>();

	private static Fleet fleet;

	private static Operator operator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("disk-full", 1, 4096);
		operator = new Operator(fleet.entries());
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/** Guards against a voter that acknowledges what it could not write. */
	@Test
	void aFollowerWhoseDiskIsFullStopsAndTheOthersGoOn() {
		ControlMember limited = fleet.followers().get(0);
		limited.process().terminate();
		limited.process().startWithFileLimit(LIMIT_BLOCKS);
		assertStopsAndComesBack(limited);
	}

	/** Guards against a leader that answers changes which only its memory holds. */
	@Test
	void aLeaderWhoseDiskIsFullStopsAndAnotherLeads() {
		// A leader hands over to the first of equals, so this one comes to lead.
		ControlMember limited = fleet.members().get(0);
		limited.process().terminate();
		limited.process().startWithFileLimit(LIMIT_BLOCKS);
		Await.until("leadership of " + limited.name(), () -> {
			ControlMember leader = fleet.leader();
			if (leader != limited) {
				fleet.awaitCaughtUp();
				leader.process().terminate();
				leader.process().start();
			}
			return leader == limited;
		});
		assertStopsAndComesBack(limited);
		Truth.assertThat(limited.process().output()).contains("Leads in term");
	}

	// helpers

	private static void assertStopsAndComesBack(ControlMember limited) {
		fleet.awaitCaughtUp();
		changeWhile(limited);
		Truth.assertThat(limited.process().awaitEnd()).isEqualTo(ExitStatus.STORAGE.status());
		Truth.assertThat(limited.process().output()).contains("File too large");
		Truth.assertThat(limited.process().output()).contains("The replica cannot go on");
		Truth.assertThat(limited.health().read()).isEqualTo(Optional.empty());
		change();
		Await.until("silence of " + limited.name(),
				() -> operator.members()
					.stream()
					.anyMatch((member) -> member.host().value().equals(limited.name())
							&& member.silentMillis() > Duration.ofSeconds(2).toMillis()));
		assertNothingLost();
		limited.process().start();
		fleet.awaitCaughtUp();
		change();
		assertNothingLost();
		assertServesAlone(limited);
	}

	// With another member down, nothing is committed without the one that came back.
	private static void assertServesAlone(ControlMember returned) {
		ControlMember other = fleet.members().stream().filter((member) -> member != returned).findFirst().orElseThrow();
		other.process().kill();
		change();
		assertNothingLost();
		other.process().start();
		fleet.awaitCaughtUp();
	}

	private static void changeWhile(ControlMember limited) {
		while (limited.process().isAlive()) {
			Truth.assertThat(accepted.size()).isLessThan(MOST_CHANGES);
			change();
		}
	}

	// Several operators at once, so that changes are in flight when the disk is full.
	private static void change() {
		List<String> names = IntStream.range(0, CHANGES_AT_ONCE)
			.mapToObj((number) -> "queue-with-a-long-name-to-fill-the-log-" + (accepted.size() + number))
			.toList();
		names.parallelStream()
			.forEach((name) -> new Operator(fleet.entries()).change("create-" + name,
					new ConfigurationCommand.CreateQueue(new QueueName(name), true)));
		accepted.addAll(names);
	}

	private static void assertNothingLost() {
		List<String> names = operator.configuration().queues().stream().map((queue) -> queue.name().value()).toList();
		Truth.assertThat(names).containsExactlyElementsIn(accepted);
	}

}
