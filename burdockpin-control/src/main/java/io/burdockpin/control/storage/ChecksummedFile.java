package io.burdockpin.control.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Encodes and decodes files whose content is preceded by its CRC32C. Stateless. */
final class ChecksummedFile {

	private ChecksummedFile() {
	}

	static byte[] encode(byte[] content) {
		return ByteBuffer.allocate(Integer.BYTES + content.length).putInt(checksum(content)).put(content).array();
	}

	static byte[] decode(String name, byte[] encoded) {
		if (encoded.length < Integer.BYTES) {
			throw StorageException.corrupt("file %s is too short".formatted(name), null);
		}
		ByteBuffer buffer = ByteBuffer.wrap(encoded);
		int storedChecksum = buffer.getInt();
		byte[] content = new byte[buffer.remaining()];
		buffer.get(content);
		if (storedChecksum != checksum(content)) {
			throw StorageException.corrupt("file %s has an invalid checksum".formatted(name), null);
		}
		return content;
	}

	private static int checksum(byte[] content) {
		CRC32C crc = new CRC32C();
		crc.update(content, 0, content.length);
		return (int) crc.getValue();
	}

}
