package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.Instant;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.lead.RunnerReply;
import io.burdockpin.core.batch.model.RunnerKey;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new leader that runs the code of its first contacts for the first
 * time.
 */
class LeaderWarmUpTests {

	private static final int ORDERS = 200;

	private final ActorTestKit testKit = ActorTestKit.create();

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
		int closed = 0;
		for (int sent = 0; sent < ORDERS;) {
			RunnerChannel.Command command = this.channels.receiveMessage();
			if (command instanceof RunnerChannel.Send send) {
				sent++;
				this.channels.expectNoMessage(Duration.ZERO);
				answer(send);
			}
			else {
				closed++;
			}
		}
		Truth.assertThat(closed).isEqualTo(ORDERS / 4 - 1);
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
		send.replyTo()
			.tell(new RunnerChannel.Answered(new RunnerKey("warm-up", 0), send.order(), RunnerReply.NoAnswer.UNKNOWN));
	}

	private Behavior<RunnerChannel.Command> channel() {
		return Behaviors.receiveMessage((command) -> {
			this.channels.getRef().tell(command);
			return (command instanceof RunnerChannel.Close) ? Behaviors.stopped() : Behaviors.same();
		});
	}

}
