package io.burdockpin.control.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the records of one segment and tells a torn tail from damage. Immutable.
 */
final class SegmentReader {

	private final String name;

	private final byte[] content;

	private final List<LogRecord> records = new ArrayList<>();

	private final int soundBytes;

	SegmentReader(String name, byte[] content) {
		this.name = name;
		this.content = content;
		this.soundBytes = readRecords();
	}

	List<LogRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Returns the length up to which all records are sound.
	 * @return the length in bytes
	 */
	int soundBytes() {
		return this.soundBytes;
	}

	boolean isWhole() {
		return this.soundBytes == this.content.length;
	}

	/**
	 * Refuses the segment if the first unsound record had been synced. A crash can damage
	 * only records after the last sync, and a later record says how far that reached.
	 */
	void refuseDamageBeforeSync() {
		for (int offsetBytes = this.soundBytes + 1; offsetBytes < this.content.length; offsetBytes++) {
			Optional<LogRecord> later = LogRecord.decode(this.content, offsetBytes);
			if (later.filter((record) -> record.syncedBytes() > this.soundBytes).isPresent()) {
				throw damage();
			}
		}
	}

	StorageException damage() {
		return StorageException
			.corrupt("segment %s has a corrupt record at byte %d".formatted(this.name, this.soundBytes), null);
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
