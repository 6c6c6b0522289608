package io.burdockpin.control.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.codec.io.EntryContentCodec;
import io.burdockpin.codec.io.SnapshotCodec;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.model.HostName;

/**
 * Files of one member: identity, vote, snapshot and log segments. Segments are
 * append-only; a record whose index is not the next one replaces that entry and all later
 * ones. The snapshot file contains the number of the first segment that is still valid.
 * Mutable; owned by one actor.
 */
public final class MemberStorage {

	private static final String SEGMENT_PREFIX = "log-";

	private static final String SEGMENT_SUFFIX = ".seg";

	private static final String SNAPSHOT_PREFIX = "snapshot-";

	/** Segment size at which a new segment is started. */
	private static final long SEGMENT_BYTES = 16 * 1024 * 1024;

	private final StorageFiles files;

	private final EntryContentCodec contentCodec;

	private final SnapshotCodec snapshotCodec;

	private final IdentityFile identityFile = new IdentityFile();

	/** Highest log index of each segment, by segment number. */
	private final TreeMap<Long, Long> highestIndexBySegment = new TreeMap<>();

	private Optional<StorageFiles.AppendFile> openSegment = Optional.empty();

	private long segmentNumber;

	private long appendedBytes;

	private long syncedBytes;

	/**
	 * Creates the storage without reading any file.
	 * @param files the data folder
	 * @param contentCodec codec of log entries
	 * @param snapshotCodec codec of snapshots
	 */
	public MemberStorage(StorageFiles files, EntryContentCodec contentCodec, SnapshotCodec snapshotCodec) {
		this.files = files;
		this.contentCodec = contentCodec;
		this.snapshotCodec = snapshotCodec;
	}

	// life cycle

	/**
	 * Initializes a new data folder with an empty log.
	 * @param identity identity of the member
	 * @param membership initial members; empty for a member that waits to be admitted
	 * @throws StorageException if the folder has an identity or a log
	 */
	public void format(Identity identity, Membership membership) {
		initialize(identity, Snapshot.initial(membership), 0);
	}

	/**
	 * Initializes a new data folder with a snapshot.
	 * @param identity identity of the member
	 * @param snapshot initial state of the member
	 * @param term the latest term
	 * @throws StorageException if the folder has an identity or a log
	 */
	public void initialize(Identity identity, Snapshot snapshot, long term) {
		boolean isUsed = this.files.list()
			.stream()
			.anyMatch((name) -> name.equals(IdentityFile.NAME) || name.startsWith(SEGMENT_PREFIX));
		if (isUsed) {
			throw StorageException.failed("the data folder is not empty", null);
		}
		writeSnapshotFile(snapshot, 1);
		this.files.replace(VoteFile.NAME, new VoteFile(term, Optional.empty()).encode());
		this.identityFile.write(this.files, identity);
	}

	/**
	 * Reads the identity.
	 * @return the identity; empty if the folder is new
	 */
	public Optional<Identity> identity() {
		return this.identityFile.read(this.files);
	}

	/**
	 * Loads the state of the member and prepares the log for appending.
	 * @return term, vote, snapshot and the log entries after the snapshot
	 * @throws StorageException if a file is missing or corrupt
	 */
	public DurableState load() {
		Identity identity = identity().orElseThrow(() -> StorageException.corrupt("identity.json is missing", null));
		VoteFile vote = this.files.read(VoteFile.NAME)
			.map(VoteFile::decode)
			.orElseThrow(() -> StorageException.corrupt("file vote is missing", null));
		StoredSnapshot stored = readNewestSnapshot();
		List<LogEntry> entries = readEntries(stored);
		MemberId self = new MemberId(new HostName(identity.host()), identity.incarnation());
		return new DurableState(self, vote.term(), vote.votedFor(), stored.snapshot(), entries);
	}

	// changes

	/**
	 * Writes term and vote and syncs them.
	 * @param term the current term
	 * @param votedFor the vote in that term; empty if none was cast
	 */
	public void writeVote(long term, Optional<MemberId> votedFor) {
		this.files.replace(VoteFile.NAME, new VoteFile(term, votedFor).encode());
	}

	/**
	 * Appends entries without a sync.
	 * @param entries log entries in the order of their indexes
	 */
	public void append(List<LogEntry> entries) {
		for (LogEntry entry : entries) {
			StorageFiles.AppendFile segment = segmentForAppend();
			byte[] payload = this.contentCodec.encode(entry.content());
			byte[] record = new LogRecord(entry.term(), entry.index(), this.syncedBytes, payload).encode();
			segment.append(record);
			this.appendedBytes += record.length;
			this.highestIndexBySegment.merge(this.segmentNumber, entry.index(), Math::max);
		}
	}

	/** Syncs all appended entries. */
	public void sync() {
		this.openSegment.ifPresent(StorageFiles.AppendFile::sync);
		this.syncedBytes = this.appendedBytes;
	}

	/**
	 * Writes and syncs a snapshot, then deletes older snapshots and the segments it
	 * covers.
	 * @param snapshot the snapshot
	 * @param discardLog whether to discard the entries after the snapshot too
	 */
	public void writeSnapshot(Snapshot snapshot, boolean discardLog) {
		closeSegment();
		long firstSegment = discardLog ? this.segmentNumber + 1 : firstNeededSegment(snapshot.index());
		writeSnapshotFile(snapshot, firstSegment);
		deleteSnapshotsBefore(snapshot.index());
		deleteSegmentsBefore(firstSegment);
	}

	// helpers

	private StorageFiles.AppendFile segmentForAppend() {
		if (this.openSegment.isPresent() && this.appendedBytes >= SEGMENT_BYTES) {
			closeSegment();
		}
		if (this.openSegment.isEmpty()) {
			this.segmentNumber++;
			this.highestIndexBySegment.put(this.segmentNumber, 0L);
			this.openSegment = Optional.of(this.files.openForAppend(segmentName(this.segmentNumber)));
			this.appendedBytes = 0;
			this.syncedBytes = 0;
		}
		return this.openSegment.get();
	}

	// A closed segment is synced, so a corrupt record in it is never a torn write.
	private void closeSegment() {
		sync();
		this.openSegment.ifPresent(StorageFiles.AppendFile::close);
		this.openSegment = Optional.empty();
	}

	private long firstNeededSegment(long snapshotIndex) {
		return this.highestIndexBySegment.entrySet()
			.stream()
			.filter((segment) -> segment.getValue() > snapshotIndex)
			.map(java.util.Map.Entry::getKey)
			.findFirst()
			.orElse(this.segmentNumber + 1);
	}

	private void deleteSegmentsBefore(long firstSegment) {
		List<Long> replaced = List.copyOf(this.highestIndexBySegment.headMap(firstSegment).keySet());
		replaced.forEach((number) -> this.files.delete(segmentName(number)));
		this.highestIndexBySegment.keySet().removeAll(replaced);
	}

	private void writeSnapshotFile(Snapshot snapshot, long firstSegment) {
		byte[] encoded = this.snapshotCodec.encode(snapshot);
		byte[] content = ByteBuffer.allocate(Long.BYTES + encoded.length).putLong(firstSegment).put(encoded).array();
		this.files.replace(snapshotName(snapshot.index()), ChecksummedFile.encode(content));
	}

	private void deleteSnapshotsBefore(long index) {
		this.files.list()
			.stream()
			.filter((name) -> name.startsWith(SNAPSHOT_PREFIX) && name.compareTo(snapshotName(index)) < 0)
			.forEach(this.files::delete);
	}

	private StoredSnapshot readNewestSnapshot() {
		String name = this.files.list()
			.stream()
			.filter((file) -> file.startsWith(SNAPSHOT_PREFIX))
			.reduce((first, second) -> second)
			.orElseThrow(() -> StorageException.corrupt("the snapshot file is missing", null));
		byte[] content = ChecksummedFile.decode(name, this.files.read(name).orElseThrow());
		ByteBuffer buffer = ByteBuffer.wrap(content);
		long firstSegment = buffer.getLong();
		byte[] encoded = new byte[buffer.remaining()];
		buffer.get(encoded);
		try {
			return new StoredSnapshot(this.snapshotCodec.decode(encoded), firstSegment);
		}
		catch (BurdockException ex) {
			throw StorageException.corrupt("file %s is malformed".formatted(name), ex);
		}
	}

	private List<LogEntry> readEntries(StoredSnapshot stored) {
		List<String> names = this.files.list().stream().filter((name) -> name.startsWith(SEGMENT_PREFIX)).toList();
		this.segmentNumber = stored.firstSegment() - 1;
		List<LogEntry> entries = new ArrayList<>();
		for (String name : names) {
			long number = segmentNumber(name);
			if (number < stored.firstSegment()) {
				this.files.delete(name);
			}
			else {
				boolean isLast = name.equals(names.get(names.size() - 1));
				readSegment(name, number, isLast)
					.forEach((record) -> addEntry(entries, record, stored.snapshot().index()));
			}
		}
		return entries;
	}

	private List<LogRecord> readSegment(String name, long number, boolean isLast) {
		if (number != this.segmentNumber + 1) {
			throw StorageException.corrupt("the segment before %s is missing".formatted(name), null);
		}
		SegmentReader reader = new SegmentReader(name, this.files.read(name).orElseThrow());
		if (isLast) {
			reader.requireNoSyncedCorruption();
			// Records that were read count as synced, also if the earlier process ended
			// before their sync.
			this.files.truncate(name, reader.validBytes());
		}
		else if (!reader.isIntact()) {
			throw reader.corruption();
		}
		this.segmentNumber = number;
		long highestIndex = reader.records().stream().mapToLong(LogRecord::index).max().orElse(0);
		this.highestIndexBySegment.put(number, highestIndex);
		return reader.records();
	}

	private void addEntry(List<LogEntry> entries, LogRecord record, long snapshotIndex) {
		if (record.index() <= snapshotIndex) {
			entries.clear();
			return;
		}
		long nextIndex = snapshotIndex + entries.size() + 1;
		if (record.index() > nextIndex) {
			throw StorageException.corrupt("entry %d of the log is missing".formatted(nextIndex), null);
		}
		entries.subList((int) (record.index() - snapshotIndex - 1), entries.size()).clear();
		entries.add(new LogEntry(record.index(), record.term(), decodeContent(record)));
	}

	private io.burdockpin.core.consensus.EntryContent decodeContent(LogRecord record) {
		try {
			return this.contentCodec.decode(record.payload());
		}
		catch (BurdockException ex) {
			throw StorageException.corrupt("entry %d of the log is malformed".formatted(record.index()), ex);
		}
	}

	private static String segmentName(long number) {
		return "%s%012d%s".formatted(SEGMENT_PREFIX, number, SEGMENT_SUFFIX);
	}

	private static long segmentNumber(String name) {
		return Long.parseLong(name.substring(SEGMENT_PREFIX.length(), name.length() - SEGMENT_SUFFIX.length()));
	}

	private static String snapshotName(long index) {
		return "%s%020d".formatted(SNAPSHOT_PREFIX, index);
	}

	private record StoredSnapshot(Snapshot snapshot, long firstSegment) {

	}

}
