package io.burdockpin.control.replica;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.control.storage.StorageFiles;
import io.burdockpin.core.consensus.Effect;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.model.Payload;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestInbox;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against acknowledging a write that is not synced. */
class LogWriterTests {

	private final FakeFiles files = new FakeFiles();

	private final TestInbox<LogWriter.Written> written = TestInbox.create();

	private BehaviorTestKit<LogWriter.Command> writer;

	@BeforeEach
	void start() {
		MemberStorage storage = new MemberStorage(this.files, new ThriftEntryContentCodec(), new ThriftSnapshotCodec());
		storage.format(new Identity("test", "c1", 1, true), Membership.EMPTY);
		TestInbox<LogWriter.Loaded> loaded = TestInbox.create();
		this.writer = BehaviorTestKit
			.create(LogWriter.create(storage, loaded.getRef(), new MetricRegistry(), () -> Instant.EPOCH));
		this.writer.run(new LogWriter.Attach(this.written.getRef()));
		Truth.assertThat(loaded.receiveMessage().state().term()).isEqualTo(0);
	}

	@Test
	void queuedWritesShareOneSyncAndAreAcknowledgedAfterIt() {
		this.writer.run(entry(1));
		this.writer.run(entry(2));
		this.writer.run(entry(3));
		Truth.assertThat(this.written.hasMessages()).isFalse();
		Truth.assertThat(this.files.syncs).isEqualTo(0);
		this.writer.runOne();
		Truth.assertThat(this.files.syncs).isEqualTo(1);
		Truth.assertThat(this.written.getAllReceived()).isEqualTo(List.of(new LogWriter.Written(3)));
	}

	@Test
	void aFailedSyncStopsTheWriterWithoutAnAcknowledgementOrRetry() {
		this.files.failSyncs = true;
		this.writer.run(entry(1));
		boolean ended = false;
		try {
			this.writer.runOne();
		}
		catch (StorageException ex) {
			ended = true;
		}
		Truth.assertThat(ended).isTrue();
		Truth.assertThat(this.files.syncs).isEqualTo(1);
		Truth.assertThat(this.written.hasMessages()).isFalse();
	}

	private static LogWriter.WriteEntries entry(long number) {
		LogEntry entry = new LogEntry(number, 1, new EntryContent.CommandContent(Payload.ofText("command")));
		return new LogWriter.WriteEntries(new Effect.WriteEntries(number, List.of(entry)));
	}

	/** Files in memory that count syncs and can make them fail. */
	private static final class FakeFiles implements StorageFiles, StorageFiles.AppendFile {

		private final Map<String, byte[]> contents = new HashMap<>();

		private final List<byte[]> appended = new ArrayList<>();

		private int syncs;

		private boolean failSyncs;

		@Override
		public List<String> list() {
			return this.contents.keySet().stream().sorted().toList();
		}

		@Override
		public Optional<byte[]> read(String name) {
			return Optional.ofNullable(this.contents.get(name));
		}

		@Override
		public void replace(String name, byte[] content) {
			this.contents.put(name, content);
		}

		@Override
		public void delete(String name) {
			this.contents.remove(name);
		}

		@Override
		public void truncate(String name, long lengthBytes) {
			throw new UnsupportedOperationException();
		}

		@Override
		public AppendFile openForAppend(String name) {
			return this;
		}

		@Override
		public void append(byte[] bytes) {
			this.appended.add(bytes);
		}

		@Override
		public void sync() {
			this.syncs++;
			if (this.failSyncs) {
				throw StorageException.failed("cannot sync", null);
			}
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

}
