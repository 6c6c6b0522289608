package io.burdockpin.control.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the records of one segment and distinguishes a torn write at its end from
 * corruption. Immutable.
 */
final class SegmentReader {

	private final String name;

	private final byte[] content;

	private final List<LogRecord> records = new ArrayList<>();

	private final int validBytes;

	SegmentReader(String name, byte[] content) {
		this.name = name;
		this.content = content;
		this.validBytes = readRecords();
	}

	List<LogRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Returns the length up to which all records are valid.
	 * @return the length in bytes
	 */
	int validBytes() {
		return this.validBytes;
	}

	boolean isIntact() {
		return this.validBytes == this.content.length;
	}

	/**
	 * Throws an exception if the first invalid record was synced. A crash can corrupt
	 * only records after the last sync; a later valid record contains the synced length
	 * at the time it was written.
	 */
	void requireNoSyncedCorruption() {
		for (int offsetBytes = this.validBytes + 1; offsetBytes < this.content.length; offsetBytes++) {
			Optional<LogRecord> later = LogRecord.decode(this.content, offsetBytes);
			if (later.filter((record) -> record.syncedBytes() > this.validBytes).isPresent()) {
				throw corruption();
			}
		}
	}

	StorageException corruption() {
		return StorageException
			.corrupt("segment %s has a corrupt record at byte %d".formatted(this.name, this.validBytes), null);
	}

	private int readRecords() {
		int offsetBytes = 0;
		Optional<LogRecord> next = LogRecord.decode(this.content, offsetBytes);
		while (next.isPresent()) {
			this.records.add(next.get());
			offsetBytes += next.get().lengthBytes();
			next = LogRecord.decode(this.content, offsetBytes);
		}
		return offsetBytes;
	}

}
