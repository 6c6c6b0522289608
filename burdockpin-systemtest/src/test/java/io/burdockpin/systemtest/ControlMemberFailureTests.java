package io.burdockpin.systemtest;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.ChangeLedger;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Accepted changes survive a lost disk and a frozen leader. */
class ControlMemberFailureTests {

	/** Longer than the timeouts of elections, links, confirmations and proposals. */
	private static final Duration LONGER_THAN_ALL_TIMEOUTS = Duration.ofSeconds(12);

	private final ChangeLedger ledger = new ChangeLedger();

	private Fleet fleet;

	private Operator operator;

	private int changes;

	@BeforeEach
	void startFleet() {
		this.fleet = Fleet.start("members", 2, 100);
		this.operator = new Operator(this.fleet.entries());
		createQueues(20);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a wiped member that votes without the entries it acknowledged, and
	 * against a replacement that counts for the majority before it has caught up.
	 */
	@Test
	void aWipedMemberDoesNotVoteAndItsReplacementHoldsTheMajority() {
		ControlMember wiped = this.fleet.followers().get(0);
		ControlMember other = this.fleet.followers().get(1);
		wiped.process().kill();
		wiped.wipe();
		createQueues(20);
		wiped.process().start();
		Await.until("a start without admission", () -> wiped.health().says("admitted", "false"));
		other.process().kill();
		Await.until("no leader", () -> !this.fleet.hasLeader());
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		Truth.assertThat(this.fleet.hasLeader()).isFalse();
		other.process().start();
		this.fleet.leader();
		long incarnation = wiped.health().number("incarnation");
		this.operator.replaceMember("replace", wiped.name(), incarnation, wiped.memberAddress());
		Await.until("a vote of the replacement",
				() -> this.operator.members()
					.stream()
					.anyMatch((member) -> member.incarnation() == incarnation && member.voter()));
		other.process().kill();
		createQueues(20);
		Truth.assertThat(this.ledger.faults(this.operator.configuration().queues())).isEmpty();
	}

	/**
	 * Guards against a leader that answers from its old state when it resumes, before it
	 * looks at the clock.
	 */
	@Test
	void aLeaderFrozenForLongerThanAllTimeoutsDoesNotAnswerAsLeader() {
		ControlMember frozen = this.fleet.leader();
		frozen.process().freeze();
		CompletableFuture<Boolean> firstAnswerAsLeader = CompletableFuture
			.supplyAsync(() -> Await.value("the first answer after the freeze", () -> frozen.health().read()))
			.thenApply((page) -> page.path("majorityReachable").asBoolean()
					&& page.path("role").asText().equals("LEADER"));
		createQueues(20);
		Await.pass(LONGER_THAN_ALL_TIMEOUTS);
		frozen.process().resume();
		Truth.assertThat(firstAnswerAsLeader.join()).isFalse();
		for (EntryHost entry : this.fleet.entries()) {
			Truth.assertThat(this.ledger.faults(new Operator(List.of(entry)).configuration().queues())).isEmpty();
		}
		createQueues(20);
		Await.until("the changes at the member that was frozen", () -> frozen.health()
			.number("configurationIndex") == this.fleet.leader().health().number("configurationIndex"));
		Truth.assertThat(this.ledger.faults(this.operator.configuration().queues())).isEmpty();
	}

	// helpers

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
