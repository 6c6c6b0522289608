package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.burdockpin.codec.thrift.impl.ThriftClientCodec;
import io.burdockpin.codec.thrift.impl.ThriftConsensusCodec;
import io.burdockpin.codec.thrift.impl.ThriftPeerCodec;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.report.WorkerReportBatch;
import io.burdockpin.core.report.WorkerReportReceiver;

/**
 * Feeds a fleet of the two-year size through the real senders in virtual time and counts
 * the bytes of the periodic messages at the leader and at one entry host. Not counted are
 * the first minutes, in which all jobs start at once, and the first seconds of the other
 * streams, which are sent whole. Mutable.
 */
public final class MessageTraffic {

	private static final long STEP_MILLIS = 50;

	private static final long BATCH_MILLIS = 250;

	private static final long TOKEN_MILLIS = 1_000;

	private static final long STATUS_MILLIS = 200;

	private static final long HEARTBEAT_MILLIS = 100;

	private static final long FEED_MILLIS = 1_000;

	private static final long JOBS_SETTLE_MILLIS = 600_000;

	private static final long SETTLE_MILLIS = 15_000;

	private static final int FOLLOWERS = 4;

	private static final HybridTimestamp TIMESTAMP = new HybridTimestamp(SampleFleet.NOW_MILLIS, 3);

	private final ThriftClientCodec clientCodec = new ThriftClientCodec();

	private final ThriftPeerCodec peerCodec = new ThriftPeerCodec();

	private final MessageSizes sizes = new MessageSizes(this.clientCodec, this.peerCodec, new ThriftConsensusCodec());

	private final TrafficLedger leader = new TrafficLedger();

	private final TrafficLedger entryHost = new TrafficLedger();

	private final WorkerReportReceiver receiver = new WorkerReportReceiver();

	private final List<WorkerTraffic> workers = new ArrayList<>();

	private final List<PeerTraffic> peers = new ArrayList<>();

	private final TokenTraffic tokens;

	private long nowMillis = SampleFleet.NOW_MILLIS;

	private boolean counting;

	MessageTraffic(FleetSize size, TrafficRates rates, long seed) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		int entryHosts = SampleFleet.ENTRY_HOSTS;
		for (int entry = 0; entry < entryHosts; entry++) {
			this.workers.add(new WorkerTraffic(entry, size.hosts() / entryHosts, rates, random));
		}
		for (int peer = 0; peer < 2 * (entryHosts - 1); peer++) {
			this.peers.add(new PeerTraffic(peer % entryHosts, size.pools(), rates, random));
		}
		this.tokens = new TokenTraffic(entryHosts, size.teams(), rates, random, this.nowMillis);
	}

	/**
	 * Prints the traffic at several rates of change.
	 * @param args not used
	 */
	public static void main(String[] args) {
		TrafficRates ordinary = TrafficRates.ORDINARY;
		print("ordinary", ordinary);
		print("jobs of 10 minutes", ordinary.withMeanJobMillis(600_000));
		print("usage noise 15%", ordinary.withUsageNoise(0.15));
	}

	private static void print(String name, TrafficRates rates) {
		MessageTraffic traffic = new MessageTraffic(FleetSize.TWO_YEARS, rates, 1);
		traffic.run(120_000);
		print(name, "leader", traffic.leader);
		print(name, "entry host", traffic.entryHost);
		System.out.printf(Locale.ROOT, "| %s | token commands | %d |%n", name, traffic.tokens.commandCount());
	}

	private static void print(String name, String role, TrafficLedger ledger) {
		for (TrafficStream stream : TrafficStream.values()) {
			System.out.printf(Locale.ROOT, "| %s | %s, %s | %.1f KB/s |%n", name, role, stream,
					ledger.meanBytesPerSecond(stream) / 1000.0);
		}
		System.out.printf(Locale.ROOT, "| %s | %s, mean and largest second | %.1f, %.1f KB/s |%n", name, role,
				ledger.meanBytesPerSecond() / 1000.0, ledger.largestSecondBytes() / 1000.0);
	}

	void run(long millis) {
		long settledMillis = this.nowMillis + JOBS_SETTLE_MILLIS;
		while (this.nowMillis < settledMillis) {
			stepWorkers();
			this.nowMillis += STEP_MILLIS;
		}
		long countFromMillis = this.nowMillis + SETTLE_MILLIS;
		long endMillis = countFromMillis + millis;
		while (this.nowMillis < endMillis) {
			this.counting = this.nowMillis >= countFromMillis;
			step();
			this.nowMillis += STEP_MILLIS;
		}
	}

	TrafficLedger leader() {
		return this.leader;
	}

	TrafficLedger entryHost() {
		return this.entryHost;
	}

	private void step() {
		this.tokens.step(this.nowMillis, STEP_MILLIS);
		stepWorkers();
		for (int entry = 0; entry < this.workers.size(); entry++) {
			if (isDue(TOKEN_MILLIS, entry)) {
				sendTokenReport(entry);
			}
		}
		if (isDue(STATUS_MILLIS, 0)) {
			this.peers.forEach((peer) -> peer.next(this.nowMillis)
				.ifPresent((message) -> count(this.entryHost, TrafficStream.PEERS,
						this.peerCodec.encode(new PeerEnvelope(SampleFleet.holder(1), TIMESTAMP, message)))));
		}
		if (isDue(HEARTBEAT_MILLIS, 0) && this.counting) {
			this.leader.add(TrafficStream.HEARTBEATS, this.nowMillis, FOLLOWERS * this.sizes.heartbeatBytes());
		}
		if (isDue(FEED_MILLIS, 0)) {
			ClientMessage heartbeat = new ClientMessage.FeedHeartbeat(100_000,
					Optional.of(SampleFleet.holder(1).host()), true);
			count(this.entryHost, TrafficStream.FEED, encode(1, heartbeat));
			for (int entry = 0; entry < this.workers.size(); entry++) {
				count(this.leader, TrafficStream.FEED, encode(entry, heartbeat));
			}
		}
	}

	private void stepWorkers() {
		for (int entry = 0; entry < this.workers.size(); entry++) {
			this.workers.get(entry).announce(this.nowMillis, STEP_MILLIS);
			if (isDue(BATCH_MILLIS, entry)) {
				sendBatch(entry);
			}
		}
	}

	private boolean isDue(long periodMillis, int entry) {
		return (this.nowMillis + entry * STEP_MILLIS) % periodMillis < STEP_MILLIS;
	}

	private void sendBatch(int entry) {
		WorkerTraffic traffic = this.workers.get(entry);
		Optional<WorkerReportBatch> batch = traffic.batch(this.nowMillis);
		if (batch.isPresent()) {
			WorkerOrders answer = traffic.answer(this.receiver, batch.get(), this.nowMillis);
			countClient(entry, TrafficStream.WORKERS, batch.get().message().withCorrelation(4_711));
			countClient(entry, TrafficStream.WORKERS, answer);
			traffic.answered(batch.get(), answer);
		}
	}

	private void sendTokenReport(int entry) {
		TokenReport report = this.tokens.report(entry, this.nowMillis).withCorrelation(4_711);
		TokenGrants grants = this.tokens.answer(report, this.nowMillis);
		countClient(entry, TrafficStream.TOKENS, report);
		countClient(entry, TrafficStream.TOKENS, grants);
		this.tokens.granted(entry, grants);
		this.tokens.pushes(this.nowMillis).forEach((holder, pushed) -> {
			countClient(holder, TrafficStream.TOKENS, pushed);
			this.tokens.granted(holder, pushed);
		});
	}

	private void countClient(int entry, TrafficStream stream, ClientMessage message) {
		if (!this.counting) {
			return;
		}
		byte[] frame = encode(entry, message);
		count(this.leader, stream, frame);
		if (entry == 1) {
			count(this.entryHost, stream, frame);
		}
	}

	private byte[] encode(int entry, ClientMessage message) {
		return this.clientCodec.encode(new ClientEnvelope(SampleFleet.holder(entry), TIMESTAMP, message));
	}

	private void count(TrafficLedger ledger, TrafficStream stream, byte[] frame) {
		if (this.counting) {
			ledger.add(stream, this.nowMillis, frame);
		}
	}

}
