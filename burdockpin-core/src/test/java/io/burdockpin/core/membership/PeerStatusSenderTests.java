package io.burdockpin.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.PeerStatusChange;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.routing.PeerLoad;
import org.junit.jupiter.api.Test;

/** Guards against a peer that counts as live although its status is outdated. */
class PeerStatusSenderTests {

	private static final PeerInfo SELF = info("e1");

	private static final PeerInfo PEER = info("e2");

	private final PeerTable table = new PeerTable(SELF, List.of(PEER), 1000);

	private final PeerStatusSender sender = new PeerStatusSender(1000);

	@Test
	void onlyChangedQueuesAreSentAfterTheFirstStatus() {
		QueueStatus unchanged = queue(1, 2, 100);
		this.sender.next(status(List.of(unchanged, queue(2, 2, 100))), 0);
		PeerStatusChange change = (PeerStatusChange) next(status(List.of(unchanged, queue(2, 1, 100))), 200);
		Truth.assertThat(change.queues()).containsExactly(queue(2, 1, 100));
		PeerStatusChange next = (PeerStatusChange) next(status(List.of(queue(2, 1, 109))), 400);
		Truth.assertThat(next.queues()).isEmpty();
		Truth.assertThat(next.removed()).containsExactly(unchanged.queue());
	}

	@Test
	void aNewConnectionStartsWithAFullStatus() {
		Truth.assertThat(next(status(List.of(queue(1, 2, 100))), 0)).isInstanceOf(PeerStatus.class);
		this.sender.onConnected();
		Truth.assertThat(next(status(List.of(queue(1, 2, 100))), 200)).isInstanceOf(PeerStatus.class);
	}

	/** Guards against an idle host that its peers consider silent. */
	@Test
	void anUnchangedStatusIsSentBeforeTheHostIsConsideredSilent() {
		int sentCount = 0;
		this.table.onLinkChange(PEER.host(), true);
		for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 200) {
			long arrivedMillis = nowMillis;
			Optional<PeerMessage> message = this.sender.next(status(List.of(queue(1, 2, 100))), nowMillis);
			sentCount += message.filter((sent) -> receive(sent, arrivedMillis)).isPresent() ? 1 : 0;
			Truth.assertThat(this.table.view(nowMillis + 200).availablePeers()).containsExactly(PEER);
		}
		Truth.assertThat(sentCount).isAtMost(150);
	}

	/** Guards against a stop or another change that reaches the peers late. */
	@Test
	void aChangeOrAnAcceptedRequestTriggersAStatusAtOnce() {
		List<QueueStatus> queues = List.of(queue(1, 2, 100));
		next(status(queues), 0);
		Truth.assertThat(this.sender.next(status(queues), 200)).isEmpty();
		next(new PeerStatus(0, PEER.dataCentre(), PEER.httpAddress(), true, 1, queues, 0), 201);
		next(new PeerStatus(0, PEER.dataCentre(), PEER.httpAddress(), true, 2, queues, 0), 202);
		this.sender.onRequestAccepted();
		next(new PeerStatus(0, PEER.dataCentre(), PEER.httpAddress(), true, 2, queues, 0), 203);
		next(new PeerStatus(0, PEER.dataCentre(), PEER.httpAddress(), true, 2, List.of(), 0), 204);
	}

	@Test
	void anAcceptedStatusIsCurrentDespiteLostAndDuplicatedFramesAndReconnections() {
		int acceptedCount = 0;
		for (long seed = 1; seed <= 20; seed++) {
			acceptedCount += run(RandomGeneratorFactory.of("L64X128MixRandom").create(seed), seed * 1_000_000);
		}
		Truth.assertThat(acceptedCount).isGreaterThan(1_000);
	}

	private PeerMessage next(PeerStatus status, long nowMillis) {
		return this.sender.next(status, nowMillis).orElseThrow();
	}

	private int run(RandomGenerator random, long startMillis) {
		int acceptedCount = 0;
		this.table.onLinkChange(PEER.host(), true);
		this.sender.onConnected();
		for (int step = 0; step < 1_000; step++) {
			long nowMillis = startMillis + step * 200L;
			if (random.nextInt(100) == 0) {
				this.sender.onConnected();
			}
			List<QueueStatus> queues = new ArrayList<>();
			for (int number = 0; number < 4; number++) {
				if (random.nextInt(10) != 0) {
					queues.add(queue(number, random.nextInt(3), 100));
				}
			}
			Optional<PeerMessage> message = this.sender.next(status(queues), nowMillis);
			int copies = (random.nextInt(20) != 0) ? 1 : 2 * random.nextInt(2);
			boolean accepted = false;
			for (int copy = 0; copy < copies; copy++) {
				accepted |= message.isPresent() && receive(message.get(), nowMillis);
			}
			if (accepted) {
				acceptedCount++;
				Truth.assertThat(freeSlots(nowMillis)).isEqualTo(freeSlots(queues));
			}
		}
		return acceptedCount;
	}

	private boolean receive(PeerMessage message, long nowMillis) {
		return (message instanceof PeerStatus whole) ? this.table.onStatus(PEER.host(), 1, whole, nowMillis)
				: this.table.onStatusChange(PEER.host(), 1, (PeerStatusChange) message, nowMillis);
	}

	private Map<QueueName, Integer> freeSlots(long nowMillis) {
		Map<QueueName, Integer> free = new TreeMap<>();
		for (Map.Entry<QueueName, List<PeerLoad>> entry : this.table.view(nowMillis).loads().entrySet()) {
			free.put(entry.getKey(), entry.getValue().get(0).freeSlots());
		}
		return free;
	}

	private static Map<QueueName, Integer> freeSlots(List<QueueStatus> queues) {
		Map<QueueName, Integer> free = new TreeMap<>();
		queues.forEach((queue) -> free.put(queue.queue(), queue.freeSlots()));
		return free;
	}

	private static PeerStatus status(List<QueueStatus> queues) {
		return new PeerStatus(0, PEER.dataCentre(), PEER.httpAddress(), false, 1, queues, 0);
	}

	private static QueueStatus queue(int number, int freeSlots, long serviceMillis) {
		return new QueueStatus(new QueueName("queue-" + number), 2, freeSlots, 0, serviceMillis);
	}

	private static PeerInfo info(String name) {
		return new PeerInfo(new HostName(name), new DataCentre("dc-1"), name + ":80");
	}

}
