package io.burdockpin.systemtest;

import java.nio.file.Path;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.ChangeLedger;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Rehearses "Backup and restore of the data folder" of the operations page. */
class RestoreRehearsalTests {

	private static final long RESTORED_INCARNATION = 1_800_000_000;

	private final ChangeLedger ledger = new ChangeLedger();

	private Fleet fleet;

	private Operator operator;

	private int changes;

	@BeforeEach
	void startFleet() {
		this.fleet = Fleet.start("restore", 2, 20);
		this.operator = new Operator(this.fleet.entries());
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a restored cluster that lacks acknowledged changes, that entry hosts
	 * which still run do not follow, or that members of the lost cluster can disturb.
	 */
	@Test
	void aClusterRestoredFromOneBackupHasAllEarlierChangesAndIgnoresOldMembers() {
		createQueues(30);
		Path backup = backUpFollower();
		this.operator.change("after-backup", new ConfigurationCommand.CreateQueue(new QueueName("after-backup"), true));
		this.fleet.members().forEach((member) -> member.process().kill());
		ControlMember old = this.fleet.members().get(2);
		for (ControlMember restored : this.fleet.members().subList(0, 2)) {
			restored.wipe();
			restored.restore(backup, RESTORED_INCARNATION);
		}
		this.fleet.members().subList(0, 2).forEach((member) -> member.process().start());
		old.process().start();
		ControlMember leader = this.fleet.leader();
		long term = leader.health().number("term");
		Truth.assertThat(leader.health().number("incarnation")).isEqualTo(RESTORED_INCARNATION);
		createQueues(10);
		Truth.assertThat(this.ledger.faults(this.operator.configuration().queues())).isEmpty();
		this.fleet.awaitSameConfiguration();
		Truth.assertThat(this.operator.configuration().queues().stream().map((queue) -> queue.name().value()).toList())
			.doesNotContain("after-backup");
		Await.until("the member of the lost cluster has read its log", () -> old.health().number("incarnation") != 0);
		Truth.assertThat(old.health().number("incarnation")).isEqualTo(1);
		Truth.assertThat(old.health().says("majorityReachable", "false")).isTrue();
		Truth.assertThat(leader.health().number("term")).isEqualTo(term);
	}

	// helpers

	private Path backUpFollower() {
		ControlMember follower = this.fleet.followers().get(0);
		long acknowledged = this.fleet.leader().health().number("commitIndex");
		Await.until("a follower that holds all that is acknowledged",
				() -> follower.health().number("lastIndex") >= acknowledged);
		Truth.assertThat(follower.process().terminate()).isEqualTo(0);
		Path backup = follower.backUp(this.fleet.folder().resolve("backup"));
		follower.process().start();
		return backup;
	}

	private void createQueues(int count) {
		for (int number = 0; number < count; number++) {
			this.changes++;
			QueueName queue = new QueueName("q-" + this.changes);
			this.ledger.accepted(queue,
					this.operator.change("create-" + this.changes, new ConfigurationCommand.CreateQueue(queue, true))
						.version());
		}
	}

}
