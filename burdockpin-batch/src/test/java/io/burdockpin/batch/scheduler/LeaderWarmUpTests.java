package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new leader that contacts its runners with cold code and does not
 * answer for seconds.
 */
class LeaderWarmUpTests {

	private static final int ORDERS = 200;

	private final ActorTestKit testKit = ActorTestKit.create();

	/**
	 * Number of unanswered orders. Atomic, because each channel is an actor of its own.
	 */
	private final AtomicInteger openOrders = new AtomicInteger();

	private final TestProbe<RunnerChannel.Command> channels = this.testKit.createTestProbe();

	private final ActorRef<LeaderWarmUp.Command> warmUp = this.testKit
		.spawn(LeaderWarmUp.create((runner) -> channel(), "127.0.0.1:1", () -> Instant.ofEpochMilli(1_000)));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void itSendsOneOrderAfterTheOtherOnConnectionsThatItCloses() {
		this.warmUp.tell(LeaderWarmUp.Step.LEADER_KNOWN);
		int sent = 0;
		int closed = 0;
		while (sent < ORDERS || closed < ORDERS / 4 - 1) {
			RunnerChannel.Command command = this.channels.receiveMessage();
			if (command instanceof RunnerChannel.Send send) {
				sent++;
				Truth.assertThat(this.openOrders.get()).isEqualTo(1);
				this.openOrders.decrementAndGet();
				answer(send);
			}
			else {
				closed++;
			}
		}
		Truth.assertThat(sent).isEqualTo(ORDERS);
	}

	@Test
	void itEndsWhenThisMemberLeads() {
		this.warmUp.tell(LeaderWarmUp.Step.LEADER_KNOWN);
		RunnerChannel.Send send = this.channels.expectMessageClass(RunnerChannel.Send.class);
		this.warmUp.tell(LeaderWarmUp.Step.END);
		this.channels.expectMessageClass(RunnerChannel.Close.class);
		answer(send);
		this.channels.expectNoMessage(Duration.ZERO);
	}

	private void answer(RunnerChannel.Send send) {
		send.replyTo().tell(new RunnerChannel.Answered(send.dispatch(), RunnerReply.NoAnswer.UNKNOWN));
	}

	private Behavior<RunnerChannel.Command> channel() {
		return Behaviors.receiveMessage((command) -> {
			if (command instanceof RunnerChannel.Send) {
				this.openOrders.incrementAndGet();
			}
			this.channels.getRef().tell(command);
			return (command instanceof RunnerChannel.Close) ? Behaviors.stopped() : Behaviors.same();
		});
	}

}
