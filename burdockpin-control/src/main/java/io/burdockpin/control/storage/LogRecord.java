package io.burdockpin.control.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * A record of a log segment. Consists of the payload length, a CRC32C of all other
 * fields, term, index, length of the segment that was synced when the record was written,
 * and payload.
 *
 * @param term term of the entry
 * @param index log index of the entry
 * @param syncedBytes length of the segment that was synced when the record was written
 * @param payload encoded content of the entry
 */
record LogRecord(long term, long index, long syncedBytes, byte[] payload) {

	/** Larger than any frame between processes, so a greater length is corrupt. */
	static final int MAXIMUM_PAYLOAD_BYTES = 8 * 1024 * 1024;

	private static final int HEADER_BYTES = Integer.BYTES + Integer.BYTES + 3 * Long.BYTES;

	private static final int CHECKSUM_OFFSET_BYTES = Integer.BYTES;

	private static final int CHECKSUMMED_OFFSET_BYTES = 2 * Integer.BYTES;

	byte[] encode() {
		ByteBuffer buffer = ByteBuffer.allocate(lengthBytes());
		buffer.putInt(this.payload.length).putInt(0);
		buffer.putLong(this.term).putLong(this.index).putLong(this.syncedBytes).put(this.payload);
		buffer.putInt(CHECKSUM_OFFSET_BYTES, checksum(buffer.array(), 0, buffer.capacity()));
		return buffer.array();
	}

	int lengthBytes() {
		return HEADER_BYTES + this.payload.length;
	}

	/**
	 * Decodes the record at an offset of a segment.
	 * @param segment content of the segment
	 * @param offsetBytes offset of the record
	 * @return the record; empty if it is incomplete or corrupt
	 */
	static Optional<LogRecord> decode(byte[] segment, int offsetBytes) {
		if (segment.length - offsetBytes < HEADER_BYTES) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(segment, offsetBytes, segment.length - offsetBytes);
		int payloadBytes = buffer.getInt();
		int storedChecksum = buffer.getInt();
		if (payloadBytes < 0 || payloadBytes > MAXIMUM_PAYLOAD_BYTES
				|| payloadBytes > segment.length - offsetBytes - HEADER_BYTES) {
			return Optional.empty();
		}
		if (storedChecksum != checksum(segment, offsetBytes, HEADER_BYTES + payloadBytes)) {
			return Optional.empty();
		}
		long term = buffer.getLong();
		long index = buffer.getLong();
		long syncedBytes = buffer.getLong();
		byte[] payload = new byte[payloadBytes];
		buffer.get(payload);
		return Optional.of(new LogRecord(term, index, syncedBytes, payload));
	}

	private static int checksum(byte[] bytes, int offsetBytes, int lengthBytes) {
		CRC32C crc = new CRC32C();
		crc.update(bytes, offsetBytes, Integer.BYTES);
		crc.update(bytes, offsetBytes + CHECKSUMMED_OFFSET_BYTES, lengthBytes - CHECKSUMMED_OFFSET_BYTES);
		return (int) crc.getValue();
	}

}
