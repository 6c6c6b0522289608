package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.membership.PeerStatusSender;

/** The status of one entry host for another one. Mutable. */
final class PeerTraffic {

	private static final int SLOTS = 64;

	private static final long SERVICE_MILLIS = 250;

	/** The default of the setting {@code peerSilentMillis}. */
	private static final long SILENT_MILLIS = 1_000;

	private final int entryNumber;

	private final int queueCount;

	private final TrafficRates rates;

	private final RandomGenerator random;

	private final PeerStatusSender sender = new PeerStatusSender(SILENT_MILLIS);

	private final List<QueueStatus> queues = new ArrayList<>();

	PeerTraffic(int entryNumber, int queueCount, TrafficRates rates, RandomGenerator random) {
		this.entryNumber = entryNumber;
		this.queueCount = queueCount;
		this.rates = rates;
		this.random = random;
		for (int queue = 0; queue < queueCount; queue++) {
			this.queues.add(new QueueStatus(SampleFleet.queue(queue), SLOTS, SLOTS, 0, SERVICE_MILLIS));
		}
	}

	// An active queue has other numbers in every status, a quiet one in every tenth.
	Optional<PeerMessage> next(long nowMillis) {
		for (int queue = 0; queue < this.queueCount; queue++) {
			boolean active = this.rates.isActive(queue, this.queueCount, nowMillis);
			if (active || this.random.nextInt(10) == 0) {
				long serviceMillis = SERVICE_MILLIS + this.random.nextInt(20);
				this.queues.set(queue, new QueueStatus(SampleFleet.queue(queue), SLOTS, this.random.nextInt(SLOTS),
						active ? this.random.nextInt(20) : 0, serviceMillis));
			}
		}
		return this.sender.next(new PeerStatus(0, SampleFleet.dataCentre(this.entryNumber), "127.1.0.1:7080", false,
				100_000, this.queues, nowMillis), nowMillis);
	}

}
