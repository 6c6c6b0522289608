package io.burdockpin.core.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.HostName;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong call results when the leader changes or connections are lost, in
 * particular calls that are reported as not proposed but may have been.
 */
class ControlCallsTests {

	private static final List<HostName> MEMBERS = List.of(new HostName("c1"), new HostName("c2"), new HostName("c3"));

	@Test
	void aCallFollowsTheLeaderHintOfAnotherMember() {
		ControlCalls calls = new ControlCalls(MEMBERS);
		MEMBERS.forEach(calls::onConnected);
		Truth.assertThat(sentTo(calls.start(1, read(1), 1000))).containsExactly(MEMBERS.get(0));
		List<CallEffect> effects = calls.onReply(MEMBERS.get(0), 1,
				new ClientMessage.NotLeader(1, Optional.of(MEMBERS.get(2))));
		Truth.assertThat(sentTo(effects)).containsExactly(MEMBERS.get(2));
	}

	@Test
	void aLostConnectionAfterSendingMakesTheResultUnknownWithoutAResend() {
		ControlCalls calls = new ControlCalls(MEMBERS);
		MEMBERS.forEach(calls::onConnected);
		calls.start(1, read(1), 1000);
		List<CallEffect> effects = calls.onDisconnected(MEMBERS.get(0));
		Truth.assertThat(effects).hasSize(1);
		Truth.assertThat(((CallEffect.Finish) effects.get(0)).result()).isInstanceOf(CallResult.Unknown.class);
		Truth.assertThat(calls.tick(1)).isEmpty();
	}

	@Test
	void aCallThatWasNeverSentFinishesAsNotProposed() {
		ControlCalls calls = new ControlCalls(MEMBERS);
		calls.start(1, read(1), 1000);
		CallEffect.Finish finish = (CallEffect.Finish) calls.tick(1000).get(0);
		Truth.assertThat(finish.result()).isInstanceOf(CallResult.NotProposed.class);
	}

	@Test
	void everyCallFinishesOnceAndNotProposedIsCorrectInAnyOrderOfEvents() {
		for (long seed = 0; seed < 300; seed++) {
			new Scenario(seed).run();
		}
	}

	private static ClientMessage read(long correlation) {
		return new ClientMessage.ReadIndex(correlation);
	}

	private static List<HostName> sentTo(List<CallEffect> effects) {
		return effects.stream()
			.filter(CallEffect.Send.class::isInstance)
			.map((effect) -> ((CallEffect.Send) effect).member())
			.toList();
	}

	/** Random sequence of calls, connections, disconnections, rejections and timeouts. */
	private static final class Scenario {

		private final RandomGenerator random;

		private final ControlCalls calls = new ControlCalls(MEMBERS);

		private final Map<Long, HostName> open = new HashMap<>();

		private final Set<Long> mayBeProposed = new HashSet<>();

		private final Map<Long, CallResult> ended = new HashMap<>();

		private Scenario(long seed) {
			this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		}

		private void run() {
			for (long step = 1; step <= 200; step++) {
				HostName member = MEMBERS.get(this.random.nextInt(MEMBERS.size()));
				switch (this.random.nextInt(5)) {
					case 0 -> recordEffects(this.calls.start(step, read(step), step + this.random.nextInt(50)));
					case 1 -> recordEffects(this.calls.onConnected(member));
					case 2 -> recordEffects(this.calls.onDisconnected(member));
					case 3 -> refuseSomeCalls();
					default -> recordEffects(this.calls.tick(step));
				}
			}
			recordEffects(this.calls.tick(Long.MAX_VALUE));
			Truth.assertThat(this.calls.pendingCount()).isEqualTo(0);
		}

		private void refuseSomeCalls() {
			for (Map.Entry<Long, HostName> entry : new ArrayList<>(this.open.entrySet())) {
				long correlation = entry.getKey();
				if (this.random.nextBoolean()) {
					this.open.remove(correlation);
					this.mayBeProposed.remove(correlation);
					Optional<HostName> hint = Optional.of(MEMBERS.get(this.random.nextInt(MEMBERS.size())));
					recordEffects(this.calls.onReply(entry.getValue(), correlation,
							new ClientMessage.NotLeader(correlation, hint)));
				}
			}
		}

		private void recordEffects(List<CallEffect> effects) {
			for (CallEffect effect : effects) {
				if (effect instanceof CallEffect.Send send) {
					long correlation = ((ClientMessage.ReadIndex) send.message()).correlation();
					Truth.assertWithMessage("a call is pending at one member at a time")
						.that(this.mayBeProposed.add(correlation))
						.isTrue();
					this.open.put(correlation, send.member());
				}
				else if (effect instanceof CallEffect.Finish finish) {
					Truth.assertThat(this.ended.put(finish.correlation(), finish.result())).isNull();
					if (finish.result() instanceof CallResult.NotProposed) {
						Truth.assertThat(this.mayBeProposed).doesNotContain(finish.correlation());
					}
					this.open.remove(finish.correlation());
				}
			}
		}

	}

}
