package io.burdockpin.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.QueueRecord;
import org.junit.jupiter.api.Test;

/** Guards P11: the active configuration never reverts, and none is active too early. */
class ConfigurationFeedTests {

	private static final List<HostName> MEMBERS = List.of(new HostName("c1"), new HostName("c2"));

	private final ConfigurationFeed feed = new ConfigurationFeed(MEMBERS, new DataCentre("dc-1"));

	@Test
	void noConfigurationIsActiveBeforeTheReadIndexIsReached() {
		this.feed.onReadIndex(7);
		Truth.assertThat(activeIndex(this.feed.onMessage(MEMBERS.get(0), snapshot(6), 0))).isEqualTo(0);
		Truth.assertThat(activeIndex(this.feed.onMessage(MEMBERS.get(0), update(6, 7), 0))).isEqualTo(7);
	}

	@Test
	void withoutALeaderTheNewestKnownConfigurationIsActive() {
		this.feed.onMessage(MEMBERS.get(0), snapshot(3), 0);
		this.feed.onPeerConfiguration(ConfigurationView.of(configuration(5)));
		Truth.assertThat(activeIndex(this.feed.onReadIndexUnavailable())).isEqualTo(5);
	}

	@Test
	void afterAPauseTheConfigurationIsConfirmedOnceItIsAsNewAsTheLeaders() {
		FeedEffect confirmed = new FeedEffect.Confirmed(4);
		this.feed.onReadIndex(1);
		this.feed.onMessage(MEMBERS.get(0), snapshot(3), 0);
		Truth.assertThat(this.feed.onReadIndexAfterPause(4, OptionalLong.of(5))).isEmpty();
		Truth.assertThat(this.feed.onMessage(MEMBERS.get(0), update(3, 4), 0)).doesNotContain(confirmed);
		Truth.assertThat(this.feed.onMessage(MEMBERS.get(0), update(4, 5), 0)).contains(confirmed);
		Truth.assertThat(this.feed.onMessage(MEMBERS.get(0), update(5, 6), 0)).doesNotContain(confirmed);
	}

	@Test
	void afterAPauseWithoutALeaderTheKnownConfigurationIsUsed() {
		this.feed.onReadIndex(1);
		this.feed.onMessage(MEMBERS.get(0), snapshot(3), 0);
		Truth.assertThat(this.feed.onReadIndexAfterPause(4, OptionalLong.empty()))
			.containsExactly(new FeedEffect.Confirmed(4));
	}

	@Test
	void aMissedChangeMakesTheFeedSubscribeAgain() {
		this.feed.onConnected(MEMBERS.get(0), 0);
		this.feed.onReadIndex(1);
		this.feed.onMessage(MEMBERS.get(0), snapshot(3), 0);
		List<FeedEffect> effects = this.feed.onMessage(MEMBERS.get(0), update(4, 5), 0);
		Truth.assertThat(effects)
			.containsExactly(
					new FeedEffect.Send(MEMBERS.get(0), new ClientMessage.Subscribe(new DataCentre("dc-1"), 3)));
	}

	@Test
	void theFeedFollowsTheNextMemberAfterTheLossOfAMajorityOrOfContact() {
		MEMBERS.forEach((member) -> this.feed.onConnected(member, 0));
		List<FeedEffect> effects = this.feed.onMessage(MEMBERS.get(0),
				new ClientMessage.FeedHeartbeat(0, Optional.empty(), false), 0);
		Truth.assertThat(((FeedEffect.Send) effects.get(0)).member()).isEqualTo(MEMBERS.get(1));
		Truth.assertThat(this.feed.tick(2999)).isEmpty();
		Truth.assertThat(((FeedEffect.Send) this.feed.tick(3000).get(0)).member()).isEqualTo(MEMBERS.get(0));
	}

	@Test
	void theActiveIndexNeverDecreasesInAnyOrderOfMessages() {
		for (long seed = 0; seed < 200; seed++) {
			RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
			ConfigurationFeed testedFeed = new ConfigurationFeed(MEMBERS, new DataCentre("dc-1"));
			long newest = 0;
			for (int step = 0; step < 100; step++) {
				long index = activeIndex(deliver(testedFeed, random));
				Truth.assertThat(index == 0 || index >= newest).isTrue();
				newest = Math.max(newest, index);
			}
		}
	}

	private static List<FeedEffect> deliver(ConfigurationFeed testedFeed, RandomGenerator random) {
		HostName member = MEMBERS.get(random.nextInt(MEMBERS.size()));
		long index = 1 + random.nextInt(30);
		return switch (random.nextInt(7)) {
			case 0 -> testedFeed.onConnected(member, index);
			case 1 -> testedFeed.onDisconnected(member, index);
			case 2 -> testedFeed.onMessage(member, snapshot(index), index);
			case 3 -> testedFeed.onMessage(member, update(index - 1, index), index);
			case 4 -> testedFeed.onPeerConfiguration(ConfigurationView.of(configuration(index)));
			case 5 -> testedFeed.onReadIndex(index);
			default -> testedFeed.tick(index * 1000);
		};
	}

	private static long activeIndex(List<FeedEffect> effects) {
		return effects.stream()
			.filter(FeedEffect.Activate.class::isInstance)
			.mapToLong((effect) -> ((FeedEffect.Activate) effect).configuration().index())
			.max()
			.orElse(0);
	}

	private static ClientMessage snapshot(long index) {
		return new ClientMessage.FeedSnapshot(configuration(index));
	}

	private static ConfigurationSnapshot configuration(long index) {
		return new ConfigurationSnapshot(index, List.of(), List.of(), List.of(), List.of(),
				List.of(new QueueRecord(new QueueName("q"), false, index)));
	}

	private static ClientMessage update(long previousIndex, long index) {
		return new ClientMessage.FeedUpdate(previousIndex, index, new Proposal(0, Optional.empty(),
				OptionalLong.empty(), new ConfigurationCommand.UpdateQueue(new QueueName("q"), true)));
	}

}
