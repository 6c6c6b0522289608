package io.burdockpin.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against losing or changing acknowledged entries after a crash or file
 * corruption, and against a voter that starts from corrupt files.
 */
class MemberStorageTests {

	private static final MemberId SELF = new MemberId(new HostName("c1"), 1);

	private static final Membership MEMBERSHIP = new Membership(
			List.of(new Member(SELF, MemberRole.VOTER, "127.1.0.1:7001")));

	private static final String SEGMENT = "log-000000000001.seg";

	@TempDir
	private Path folder;

	private MemberStorage storage;

	@BeforeEach
	void format() {
		this.storage = open();
		this.storage.format(new Identity("test", "c1", 1, true), MEMBERSHIP);
		this.storage.load();
	}

	@Test
	void writtenStateIsLoadedAfterARestart() {
		this.storage.writeVote(7, Optional.of(SELF));
		this.storage.append(entries(1, 5, 3));
		this.storage.sync();
		DurableState state = open().load();
		Truth.assertThat(state)
			.isEqualTo(new DurableState(SELF, 7, Optional.of(SELF), Snapshot.initial(MEMBERSHIP), entries(1, 5, 3)));
	}

	@Test
	void aFolderIsFormattedOnlyOnce() {
		Truth.assertThat(failureOf(() -> open().format(new Identity("test", "c1", 1, true), MEMBERSHIP)))
			.isEqualTo(Optional.of(ErrorCode.STORAGE_FAILED));
	}

	@Test
	void laterEntriesReplaceEarlierOnesFromTheirIndexOn() {
		this.storage.append(entries(1, 6, 3));
		this.storage.append(entries(4, 4, 5));
		this.storage.sync();
		Truth.assertThat(open().load().entries().stream().map(LogEntry::term).toList())
			.isEqualTo(List.of(3L, 3L, 3L, 5L));
	}

	@Test
	void aTornRecordAtTheTailIsTruncated() throws IOException {
		this.storage.append(entries(1, 5, 3));
		this.storage.sync();
		byte[] content = Files.readAllBytes(file());
		Files.write(file(), Arrays.copyOf(content, content.length - 3));
		Truth.assertThat(open().load().entries()).isEqualTo(entries(1, 4, 3));
		Truth.assertThat(Files.size(file())).isLessThan(content.length - 3L);
	}

	@Test
	void unsyncedRecordsAfterACorruptOneAreDroppedWithIt() throws IOException {
		this.storage.append(entries(1, 2, 3));
		this.storage.sync();
		long syncedBytes = Files.size(file());
		this.storage.append(entries(3, 6, 3));
		flip((int) syncedBytes + 40);
		Truth.assertThat(open().load().entries()).isEqualTo(entries(1, 2, 3));
	}

	@Test
	void aCorruptRecordThatWasSyncedIsRejected() throws IOException {
		this.storage.append(entries(1, 2, 3));
		this.storage.sync();
		this.storage.append(entries(3, 6, 3));
		this.storage.sync();
		flip(40);
		Truth.assertThat(failureOf(() -> open().load())).isEqualTo(Optional.of(ErrorCode.DATA_CORRUPT));
	}

	@Test
	void aCorruptRecordInAnOlderSegmentIsRejected() throws IOException {
		this.storage.append(entries(1, 2, 3));
		this.storage.sync();
		MemberStorage second = open();
		second.load();
		second.append(entries(3, 4, 3));
		second.sync();
		flip((int) Files.size(file()) - 1);
		Truth.assertThat(failureOf(() -> open().load())).isEqualTo(Optional.of(ErrorCode.DATA_CORRUPT));
	}

	/**
	 * Guards against a member that refuses to start, or loses entries that it has
	 * acknowledged. Occurs when its process ends before a sync, it starts again, and the
	 * disk loses power later.
	 */
	@Test
	void entriesThatWereReadAfterARestartOutliveALaterPowerLoss() throws IOException {
		FilesWithPowerLoss files = new FilesWithPowerLoss(this.folder);
		MemberStorage first = open(files);
		first.load();
		first.append(entries(1, 2, 3));
		first.sync();
		first.append(entries(3, 4, 3));
		MemberStorage second = open(files);
		Truth.assertThat(second.load().entries()).isEqualTo(entries(1, 4, 3));
		second.append(entries(5, 6, 3));
		second.sync();
		files.losePower();
		Truth.assertThat(open(files).load().entries()).isEqualTo(entries(1, 6, 3));
	}

	@Test
	void aCorruptOrMissingVoteOrSnapshotIsRejected() throws IOException {
		for (String name : List.of(VoteFile.NAME, "snapshot-00000000000000000000")) {
			byte[] content = Files.readAllBytes(this.folder.resolve(name));
			byte[] corrupt = content.clone();
			corrupt[corrupt.length / 2] ^= 1;
			Files.write(this.folder.resolve(name), corrupt);
			Truth.assertThat(failureOf(() -> open().load())).isEqualTo(Optional.of(ErrorCode.DATA_CORRUPT));
			Files.delete(this.folder.resolve(name));
			Truth.assertThat(failureOf(() -> open().load())).isEqualTo(Optional.of(ErrorCode.DATA_CORRUPT));
			Files.write(this.folder.resolve(name), content);
		}
	}

	@Test
	void aSnapshotReplacesTheOlderPartOfTheLog() {
		this.storage.append(entries(1, 5, 3));
		Snapshot snapshot = new Snapshot(5, 3, 0, MEMBERSHIP, Payload.ofText("state"));
		this.storage.writeSnapshot(snapshot, false);
		this.storage.append(entries(6, 7, 3));
		this.storage.sync();
		DurableState state = open().load();
		Truth.assertThat(state.snapshot()).isEqualTo(snapshot);
		Truth.assertThat(state.entries()).isEqualTo(entries(6, 7, 3));
		Truth.assertThat(Files.exists(file())).isFalse();
	}

	@Test
	void entriesAfterTheSnapshotOfALeaderAreDiscardedIfTheyDoNotFollowIt() {
		this.storage.append(entries(1, 9, 2));
		this.storage.writeSnapshot(new Snapshot(5, 3, 0, MEMBERSHIP, Payload.ofText("state")), true);
		Truth.assertThat(open().load().entries()).isEmpty();
	}

	@Test
	void aSnapshotMayCoverEntriesThatWereNeverWritten() {
		this.storage.append(entries(1, 3, 3));
		this.storage.writeSnapshot(new Snapshot(5, 3, 0, MEMBERSHIP, Payload.ofText("state")), false);
		this.storage.append(entries(6, 6, 3));
		this.storage.sync();
		Truth.assertThat(open().load().entries()).isEqualTo(entries(6, 6, 3));
	}

	private MemberStorage open() {
		return open(new DiskFiles(this.folder));
	}

	private static MemberStorage open(StorageFiles files) {
		return new MemberStorage(files, new ThriftEntryContentCodec(), new ThriftSnapshotCodec());
	}

	private Path file() {
		return this.folder.resolve(SEGMENT);
	}

	private void flip(int offsetBytes) throws IOException {
		byte[] content = Files.readAllBytes(file());
		content[offsetBytes] ^= 1;
		Files.write(file(), content, StandardOpenOption.TRUNCATE_EXISTING);
	}

	private static List<LogEntry> entries(long first, long last, long term) {
		return LongStream.rangeClosed(first, last)
			.mapToObj((index) -> new LogEntry(index, term,
					new EntryContent.CommandContent(Payload.ofText("command " + index + " of " + term))))
			.toList();
	}

	private static Optional<ErrorCode> failureOf(Runnable action) {
		try {
			action.run();
			return Optional.empty();
		}
		catch (StorageException ex) {
			return Optional.of(ex.getCode());
		}
	}

}
