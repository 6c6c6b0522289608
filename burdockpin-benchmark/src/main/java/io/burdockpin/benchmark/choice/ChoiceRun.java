package io.burdockpin.benchmark.choice;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.routing.PeerLoads;
import org.HdrHistogram.Histogram;

/**
 * Requests of one queue in virtual time on entry hosts that know each other's load from a
 * status every 200 ms. One host's runners are four times slower until half time. Mutable,
 * used once.
 */
final class ChoiceRun {

	private static final int HOSTS = 7;

	private static final int SLOTS_PER_HOST = 8;

	private static final long STATUS_MILLIS = 200;

	private static final long SERVICE_MILLIS = 100;

	private static final long SLOW_SERVICE_MILLIS = 400;

	private static final long DURATION_MILLIS = 120_000;

	private static final int SLOW_HOST = 3;

	private static final QueueName QUEUE = new QueueName("specs");

	private static final DataCentre DATA_CENTRE = new DataCentre("dc1");

	private final ChoiceRule rule;

	private final double requestsPerMilli;

	private final RandomGenerator random;

	private final List<PeerLoads> knowledge = new ArrayList<>();

	/** For each host the times at which its slots become free. */
	private final List<PriorityQueue<Long>> slotsFreeMillis = new ArrayList<>();

	private final Histogram waitMillis = new Histogram(3);

	private final Histogram recoveredWaitMillis = new Histogram(3);

	private final long[] measuredServiceMillis = new long[HOSTS];

	private long recoveredRequests;

	ChoiceRun(ChoiceRule rule, double utilisation, long seed) {
		this.rule = rule;
		this.requestsPerMilli = utilisation * HOSTS * SLOTS_PER_HOST / SERVICE_MILLIS;
		this.random = new SplittableRandom(seed);
		for (int host = 0; host < HOSTS; host++) {
			this.knowledge.add(new PeerLoads());
			PriorityQueue<Long> slots = new PriorityQueue<>();
			IntStream.range(0, SLOTS_PER_HOST).forEach((slot) -> slots.add(0L));
			this.slotsFreeMillis.add(slots);
			this.measuredServiceMillis[host] = SERVICE_MILLIS;
		}
	}

	/**
	 * Runs to the end.
	 * @return the waits for a slot
	 */
	ChoiceResult run() {
		double arrivalMillis = 0;
		long nextStatusMillis = 0;
		while (arrivalMillis < DURATION_MILLIS) {
			while (nextStatusMillis <= arrivalMillis) {
				exchangeStatus(nextStatusMillis);
				nextStatusMillis += STATUS_MILLIS;
			}
			serve(this.random.nextInt(HOSTS), (long) arrivalMillis);
			arrivalMillis += -Math.log(1 - this.random.nextDouble()) / this.requestsPerMilli;
		}
		return new ChoiceResult(this.rule, this.waitMillis.getMean(), this.waitMillis.getValueAtPercentile(99),
				this.recoveredWaitMillis.getValueAtPercentile(99), this.recoveredRequests);
	}

	private void serve(int receiver, long nowMillis) {
		List<PeerLoad> loads = this.knowledge.get(receiver).of(QUEUE);
		PeerLoad chosen = this.rule.choose(loads, this.random);
		this.knowledge.get(receiver).recordSent(QUEUE, chosen);
		int host = Integer.parseInt(chosen.host().value());
		long freeMillis = this.slotsFreeMillis.get(host).poll();
		long startMillis = Math.max(freeMillis, nowMillis);
		long serviceMillis = serviceMillis(host, startMillis);
		this.slotsFreeMillis.get(host).add(startMillis + serviceMillis);
		this.measuredServiceMillis[host] = serviceMillis;
		record(host, startMillis - nowMillis, nowMillis);
	}

	private void record(int host, long waitedMillis, long nowMillis) {
		this.waitMillis.recordValue(waitedMillis);
		if (nowMillis >= DURATION_MILLIS / 2) {
			this.recoveredWaitMillis.recordValue(waitedMillis);
			this.recoveredRequests += (host == SLOW_HOST) ? 1 : 0;
		}
	}

	private long serviceMillis(int host, long startMillis) {
		boolean slow = host == SLOW_HOST && startMillis < DURATION_MILLIS / 2;
		return slow ? SLOW_SERVICE_MILLIS : SERVICE_MILLIS;
	}

	private void exchangeStatus(long nowMillis) {
		List<PeerLoad> loads = IntStream.range(0, HOSTS)
			.mapToObj((host) -> load(host, nowMillis))
			.sorted(Comparator.comparing(PeerLoad::host))
			.toList();
		this.knowledge.forEach((known) -> known.update(Map.of(QUEUE, loads)));
	}

	private PeerLoad load(int host, long nowMillis) {
		int freeSlots = (int) this.slotsFreeMillis.get(host)
			.stream()
			.filter((freeMillis) -> freeMillis <= nowMillis)
			.count();
		long backlogMillis = this.slotsFreeMillis.get(host)
			.stream()
			.mapToLong((freeMillis) -> Math.max(0, freeMillis - nowMillis - this.measuredServiceMillis[host]))
			.sum();
		int waiting = (int) (backlogMillis / this.measuredServiceMillis[host]);
		return new PeerLoad(new HostName(String.valueOf(host)), DATA_CENTRE, nowMillis, SLOTS_PER_HOST, freeSlots,
				waiting, this.measuredServiceMillis[host]);
	}

}
