package io.burdockpin.systemtest;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.ChangeLedger;
import io.burdockpin.systemtest.check.IndexMonitor;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Promise P11 and the durability of accepted changes while control members fail. */
class OperatorChangesUnderFailureTests {

	/** Makes a member that missed several hundred changes need a snapshot. */
	private static final int SNAPSHOT_ENTRIES = 100;

	private final ChangeLedger ledger = new ChangeLedger();

	private Fleet fleet;

	private Operator operator;

	@BeforeEach
	void startFleet() {
		this.fleet = Fleet.start("changes", 2, SNAPSHOT_ENTRIES);
		this.operator = new Operator(this.fleet.entries());
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against acknowledging a change before a majority has it, against applying a
	 * resend again and against entry hosts that serve an older configuration than before.
	 */
	@Test
	void noAcceptedChangeIsLostOrMadeTwiceWhileLeadersAreKilled() {
		try (IndexMonitor monitor = IndexMonitor.start(this.fleet.entries())) {
			createQueues(0, 30);
			for (int round = 1; round <= 2; round++) {
				ControlMember leader = this.fleet.leader();
				leader.process().kill();
				createQueues(30 * round, 30 * round + 30);
				leader.process().start();
			}
			this.fleet.awaitSameConfiguration();
			Truth.assertThat(monitor.stepsBack()).isEmpty();
		}
		Truth.assertThat(this.ledger.faults(this.operator.configuration().queues())).isEmpty();
	}

	/**
	 * Guards against a returning member that counts for the majority without the changes
	 * that it missed: its vote is needed after the loss of the leader.
	 */
	@Test
	void aMemberThatMissedHundredsOfChangesCatchesUpAndHoldsTheMajority() {
		ControlMember absent = this.fleet.followers().get(0);
		absent.process().kill();
		createQueues(0, 300);
		absent.process().start();
		ControlMember leader = this.fleet.leader();
		Await.until("the commit index of the leader at " + absent.name(),
				() -> absent.health().number("commitIndex") >= leader.health().number("commitIndex")
						&& leader.health().number("term") > 0);
		leader.process().kill();
		createQueues(300, 310);
		this.fleet.awaitSameConfiguration();
		Truth.assertThat(this.ledger.faults(this.operator.configuration().queues())).isEmpty();
	}

	// Each change is sent again through the other entry host after its reply.
	private void createQueues(int from, int to) {
		List<EntryHost> entries = this.fleet.entries();
		Operator second = new Operator(List.of(entries.get(1), entries.get(0)));
		for (int number = from; number < to; number++) {
			QueueName queue = new QueueName("q-" + number);
			ConfigurationCommand.CreateQueue command = new ConfigurationCommand.CreateQueue(queue, true);
			OperatorReply.Changed first = this.operator.change("create-" + number, command);
			this.ledger.accepted(queue, first.version());
			this.ledger.accepted(queue, second.change("create-" + number, command).version());
		}
	}

}
