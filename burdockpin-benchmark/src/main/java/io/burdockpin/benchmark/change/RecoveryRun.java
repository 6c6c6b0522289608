package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.ControlProgram;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.Proposal;

/**
 * The start of a single member whose log holds many entries and no snapshot. Stateless.
 */
final class RecoveryRun {

	private static final int QUEUES = 100;

	private static final int ENTRIES_PER_APPEND = 1000;

	private RecoveryRun() {
	}

	/**
	 * Writes a log and starts a member on it.
	 * @param folder a new folder
	 * @param entries length of the log, at least 100
	 * @return what it took until all entries were applied
	 */
	static Recovery run(Path folder, int entries) {
		String ip = "127.78.%d.1".formatted(1 + ProcessHandle.current().pid() % 250);
		Path data = folder.resolve("data");
		try {
			Files.createDirectories(data);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Member member = new Member(new MemberId(new HostName("c1"), 1), MemberRole.VOTER, ip + ":21001");
		MemberStorage storage = new MemberStorage(new DiskFiles(data), new ThriftEntryContentCodec(),
				new ThriftSnapshotCodec());
		storage.format(new Identity("recovery", "c1", 1, true), new Membership(List.of(member)));
		storage.load();
		storage.writeVote(1, Optional.empty());
		writeLog(storage, entries);
		Map<String, Object> settings = Map.of("cluster", "recovery", "host", "c1", "dataCentre", "dc1", "dataFolder",
				data.toString(), "memberAddress", ip + ":21001", "clientAddress", ip + ":21002", "adminAddress",
				ip + ":21003", "snapshotEntries", 1_000_000, "members",
				List.of(Map.of("host", "c1", "address", ip + ":21001")));
		long startNanos = System.nanoTime();
		try (RealProcess process = new RealProcess("c1", ControlProgram.class, folder, settings, ip + ":21003")) {
			process.awaitNumber("configurationIndex", entries);
			return new Recovery((System.nanoTime() - startNanos) / 1_000_000, process.processorMillis());
		}
	}

	private static void writeLog(MemberStorage storage, int entries) {
		ThriftProposalCodec codec = new ThriftProposalCodec();
		List<LogEntry> batch = new ArrayList<>();
		for (int index = 1; index <= entries; index++) {
			QueueName queue = new QueueName("queue-" + index % QUEUES);
			ConfigurationCommand command = (index <= QUEUES) ? new ConfigurationCommand.CreateQueue(queue, true)
					: new ConfigurationCommand.UpdateQueue(queue, index / QUEUES % 2 == 0);
			Proposal proposal = new Proposal(1_700_000_000_000L + index, Optional.of(new RequestId("change-" + index)),
					OptionalLong.empty(), command);
			batch.add(new LogEntry(index, 1, new EntryContent.CommandContent(Payload.of(codec.encode(proposal)))));
			if (batch.size() == ENTRIES_PER_APPEND || index == entries) {
				storage.append(batch);
				storage.sync();
				batch.clear();
			}
		}
	}

	/**
	 * What a start took.
	 *
	 * @param elapsedMillis time since the start of the process
	 * @param processorMillis its processor time, which depends less on the load of the
	 * machine
	 */
	record Recovery(long elapsedMillis, long processorMillis) {

	}

}
