package io.burdockpin.benchmark.capacity;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.Proposal;

/** Bytes of the periodic messages between the system's own processes. Stateless. */
final class MessageSizes {

	/** The length prefix of a frame. */
	private static final int PREFIX_BYTES = 4;

	private static final HybridTimestamp TIMESTAMP = new HybridTimestamp(SampleFleet.NOW_MILLIS, 3);

	private static final Resources USAGE = new Resources(1_500, 3_000, 0);

	private static final int COMMAND_BYTES = 120;

	private final FrameCodec<ClientEnvelope> clientCodec;

	private final FrameCodec<PeerEnvelope> peerCodec;

	private final FrameCodec<ConsensusEnvelope> consensusCodec;

	MessageSizes(FrameCodec<ClientEnvelope> clientCodec, FrameCodec<PeerEnvelope> peerCodec,
			FrameCodec<ConsensusEnvelope> consensusCodec) {
		this.clientCodec = clientCodec;
		this.peerCodec = peerCodec;
		this.consensusCodec = consensusCodec;
	}

	List<Measurement> measure() {
		return List.of(consensus("heartbeat of the leader", "no entries", append(0)),
				consensus("heartbeat of the leader", "1 entry", append(1)),
				consensus("heartbeat of the leader", "10 entries", append(10)),
				consensus("answer to a heartbeat", "", new ConsensusMessage.AppendReply(7, true, 100_000, 5, 12_345)),
				peer("peer status", "5 queues", status(5)), peer("peer status", "12 queues", status(12)),
				peer("peer status", "23 queues", status(23)), client("token report", "6 teams", tokenReport(6)),
				client("token report", "30 teams", tokenReport(30)),
				client("token report", "110 teams", tokenReport(110)),
				client("token grants", "6 teams", tokenGrants(6)), client("token grants", "30 teams", tokenGrants(30)),
				client("token grants", "110 teams", tokenGrants(110)),
				client("worker reports, 6 jobs each", "6 workers", workerReports(6)),
				client("worker reports, 6 jobs each", "30 workers", workerReports(30)),
				client("worker reports, 6 jobs each", "110 workers", workerReports(110)),
				client("feed heartbeat", "",
						new ClientMessage.FeedHeartbeat(100_000, Optional.of(new HostName("entry-1")), true)),
				client("feed update", "1 change", feedUpdate()));
	}

	long heartbeatBytes() {
		return (long) bytes(append(0)) + bytes(new ConsensusMessage.AppendReply(7, true, 100_000, 5, 12_345));
	}

	private int bytes(ConsensusMessage message) {
		ConsensusEnvelope envelope = new ConsensusEnvelope("nadifa", member(1), member(2), 1, TIMESTAMP, message);
		return this.consensusCodec.encode(envelope).length + PREFIX_BYTES;
	}

	private Measurement client(String quantity, String size, ClientMessage message) {
		ClientEnvelope envelope = new ClientEnvelope(SampleFleet.holder(1), TIMESTAMP, message);
		return measurement(quantity, size, this.clientCodec.encode(envelope));
	}

	private Measurement peer(String quantity, String size, PeerMessage message) {
		PeerEnvelope envelope = new PeerEnvelope(SampleFleet.holder(1), TIMESTAMP, message);
		return measurement(quantity, size, this.peerCodec.encode(envelope));
	}

	private Measurement consensus(String quantity, String size, ConsensusMessage message) {
		ConsensusEnvelope envelope = new ConsensusEnvelope("nadifa", member(1), member(2), 1, TIMESTAMP, message);
		return measurement(quantity, size, this.consensusCodec.encode(envelope));
	}

	private static Measurement measurement(String quantity, String size, byte[] frame) {
		return new Measurement(quantity, size, frame.length + PREFIX_BYTES, "bytes");
	}

	private static MemberId member(int number) {
		return new MemberId(new HostName("entry-" + number), 1);
	}

	private static ConsensusMessage append(int entries) {
		EntryContent content = new EntryContent.CommandContent(Payload.of(new byte[COMMAND_BYTES]));
		List<LogEntry> list = IntStream.range(0, entries)
			.mapToObj((number) -> new LogEntry(100_001 + number, 7, content))
			.toList();
		return new ConsensusMessage.AppendRequest(7, 100_000, 7, list, 100_000, 55_555, 12_345_678);
	}

	private static PeerMessage status(int queues) {
		List<PeerMessage.QueueStatus> list = IntStream.range(0, queues)
			.mapToObj((number) -> new PeerMessage.QueueStatus(SampleFleet.queue(number), 64, 12, 3, 250))
			.toList();
		return new PeerMessage.PeerStatus(0, SampleFleet.dataCentre(1), "127.1.0.1:7080", false, 100_000, list,
				SampleFleet.NOW_MILLIS);
	}

	private static ClientMessage tokenReport(int teams) {
		List<ClientMessage.TokenUsage> usages = IntStream.range(0, teams)
			.mapToObj((number) -> new ClientMessage.TokenUsage(SampleFleet.team(number), 20, 12, 3))
			.toList();
		return new ClientMessage.TokenReport(4_711, SampleFleet.holder(1), 4_711, 7, 4_710, usages);
	}

	private static ClientMessage tokenGrants(int teams) {
		List<ClientMessage.TokenGrant> grants = IntStream.range(0, teams)
			.mapToObj((number) -> new ClientMessage.TokenGrant(SampleFleet.team(number), 5, 15, 20))
			.toList();
		return new ClientMessage.TokenGrants(4_711, 7, 4_710, 45_000, grants);
	}

	private static ClientMessage workerReports(int workers) {
		List<ClientMessage.WorkerReport> reports = IntStream.range(0, workers)
			.mapToObj(MessageSizes::workerReport)
			.toList();
		return new ClientMessage.WorkerReports(4_711, 1, 4_711, 900, reports, List.of(), List.of());
	}

	private static ClientMessage.WorkerReport workerReport(int worker) {
		List<ClientMessage.JobReport> jobs = IntStream.range(0, 6)
			.mapToObj((number) -> new ClientMessage.JobReport(new JobId("j-%016x".formatted(worker * 6 + number)), 1,
					JobPhase.RUNNING, USAGE, Payload.EMPTY))
			.toList();
		return new ClientMessage.WorkerReport(SampleFleet.worker(worker), "boot-1", 4_711, USAGE, jobs);
	}

	private static ClientMessage feedUpdate() {
		Proposal proposal = new Proposal(SampleFleet.NOW_MILLIS, Optional.of(new RequestId("change-4711")),
				OptionalLong.of(99_000),
				new ConfigurationCommand.UpdateTeam(new TeamSpec(SampleFleet.team(5), 10, 200, 0)));
		return new ClientMessage.FeedUpdate(100_000, 100_001, proposal);
	}

}
