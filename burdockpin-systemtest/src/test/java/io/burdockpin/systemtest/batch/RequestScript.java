package io.burdockpin.systemtest.batch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The bytes that one client sends on a connection: a start, then a pattern that is
 * repeated, then an end. Immutable.
 *
 * @param start the first bytes
 * @param pattern the bytes that are repeated
 * @param repeatedBytes number of bytes of the repeated pattern
 * @param end the last bytes; empty if the request stops short of its end
 * @param pieceBytes largest number of bytes of one write
 */
record RequestScript(byte[] start, byte[] pattern, long repeatedBytes, byte[] end, int pieceBytes) {

	static RequestScript of(String start, String pattern, long repeatedBytes, String end, int pieceBytes) {
		return new RequestScript(start.getBytes(StandardCharsets.ISO_8859_1),
				pattern.getBytes(StandardCharsets.ISO_8859_1), repeatedBytes, end.getBytes(StandardCharsets.ISO_8859_1),
				pieceBytes);
	}

	long totalBytes() {
		return this.start.length + this.repeatedBytes + this.end.length;
	}

	/**
	 * Returns the next bytes to write.
	 * @param position number of bytes that were written
	 * @return the bytes; none at the end of the script
	 */
	ByteBuffer piece(long position) {
		int bytes = (int) Math.min(this.pieceBytes, totalBytes() - position);
		ByteBuffer piece = ByteBuffer.allocate(bytes);
		for (int i = 0; i < bytes; i++) {
			piece.put(at(position + i));
		}
		return piece.flip();
	}

	private byte at(long position) {
		if (position < this.start.length) {
			return this.start[(int) position];
		}
		long repeated = position - this.start.length;
		return (repeated < this.repeatedBytes) ? this.pattern[(int) (repeated % this.pattern.length)]
				: this.end[(int) (repeated - this.repeatedBytes)];
	}

}
