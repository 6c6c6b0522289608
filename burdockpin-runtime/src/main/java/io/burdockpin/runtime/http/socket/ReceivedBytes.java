package io.burdockpin.runtime.http.socket;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import org.apache.pekko.util.ByteString;

/**
 * Queue of received bytes. A large part is kept as it is; small ones are copied together,
 * so that many small parts take about as much memory as their bytes. Not thread-safe.
 */
final class ReceivedBytes {

	/** Smaller parts are copied into blocks, because each part has an overhead. */
	private static final int MINIMUM_PART_BYTES = 1_024;

	private static final int MINIMUM_BLOCK_BYTES = 512;

	private static final int MAXIMUM_BLOCK_BYTES = 16 * 1_024;

	private static final byte[] HEAD_END = { '\r', '\n', '\r', '\n' };

	private final Deque<Block> blocks = new ArrayDeque<>();

	private int length;

	private long retainedBytes;

	/** Number of bytes in which no end of a header section begins or ends. */
	private int searchedBytes;

	/** Length of the beginning of {@link #HEAD_END} before {@link #searchedBytes}. */
	private int matchedBytes;

	int length() {
		return this.length;
	}

	boolean isEmpty() {
		return this.length == 0;
	}

	/**
	 * Returns the memory of the blocks.
	 * @return the number of bytes, including those of blocks that are partly consumed
	 */
	long retainedBytes() {
		return this.retainedBytes;
	}

	/**
	 * Adds bytes at the end.
	 * @param part the bytes, which are not copied if they are many
	 */
	void add(ByteString part) {
		byte[] bytes = part.toArrayUnsafe();
		int copied = fillLast(bytes, 0, bytes.length);
		if (this.blocks.isEmpty() || bytes.length - copied >= MINIMUM_PART_BYTES) {
			if (copied < bytes.length) {
				addBlock(new Block(bytes, copied, bytes.length));
				this.length += bytes.length - copied;
			}
		}
		else {
			copy(bytes, copied, bytes.length);
		}
	}

	byte first() {
		Block block = this.blocks.getFirst();
		return block.bytes[block.start];
	}

	void drop(int bytes) {
		consume(bytes, (source, start, end) -> {
		});
	}

	/**
	 * Consumes bytes.
	 * @param bytes their number, at most {@link #length}
	 * @return the bytes, which must not be changed
	 */
	byte[] take(int bytes) {
		Block block = this.blocks.peekFirst();
		if (block != null && block.start == 0 && block.end == bytes && block.bytes.length == bytes) {
			drop(bytes);
			return block.bytes;
		}
		byte[] taken = new byte[bytes];
		int[] position = new int[1];
		consume(bytes, (source, start, end) -> {
			System.arraycopy(source, start, taken, position[0], end - start);
			position[0] += end - start;
		});
		return taken;
	}

	/**
	 * Moves bytes to the end of another queue.
	 * @param target receives the bytes
	 * @param bytes their number, at most {@link #length}
	 */
	void moveTo(ReceivedBytes target, int bytes) {
		consume(bytes, (source, start, end) -> target.copy(source, start + target.fillLast(source, start, end), end));
	}

	/**
	 * Returns the length of a header section at the start. Bytes that were searched
	 * before are not searched again.
	 * @return the length with the empty line at its end; 0 if there is no such line
	 */
	int headLength() {
		int position = 0;
		for (Block block : this.blocks) {
			int blockLength = block.end - block.start;
			for (int i = Math.max(0, this.searchedBytes - position); i < blockLength; i++) {
				byte next = block.bytes[block.start + i];
				this.searchedBytes++;
				if (next == HEAD_END[this.matchedBytes]) {
					this.matchedBytes++;
				}
				else {
					this.matchedBytes = (next == HEAD_END[0]) ? 1 : 0;
				}
				if (this.matchedBytes == HEAD_END.length) {
					int found = this.searchedBytes;
					restartSearch();
					return found;
				}
			}
			position += blockLength;
		}
		return 0;
	}

	private void restartSearch() {
		this.searchedBytes = 0;
		this.matchedBytes = 0;
	}

	// Returns the number of bytes that were copied into the room of the last block.
	private int fillLast(byte[] bytes, int start, int end) {
		Block last = this.blocks.peekLast();
		if (last == null) {
			return 0;
		}
		int copied = Math.min(end - start, last.bytes.length - last.end);
		System.arraycopy(bytes, start, last.bytes, last.end, copied);
		last.end += copied;
		this.length += copied;
		return copied;
	}

	private void copy(byte[] bytes, int start, int end) {
		if (start < end) {
			int capacity = Math.max(MINIMUM_BLOCK_BYTES, Math.min(MAXIMUM_BLOCK_BYTES, this.length));
			byte[] block = Arrays.copyOfRange(bytes, start, start + Math.max(capacity, end - start));
			addBlock(new Block(block, 0, end - start));
			this.length += end - start;
		}
	}

	private void addBlock(Block block) {
		this.blocks.add(block);
		this.retainedBytes += block.bytes.length;
	}

	private void consume(int bytes, Consumer consumer) {
		restartSearch();
		int remaining = bytes;
		while (remaining > 0) {
			Block block = this.blocks.getFirst();
			int consumed = Math.min(remaining, block.end - block.start);
			consumer.accept(block.bytes, block.start, block.start + consumed);
			block.start += consumed;
			remaining -= consumed;
			this.length -= consumed;
			if (block.start == block.end) {
				this.blocks.removeFirst();
				this.retainedBytes -= block.bytes.length;
			}
		}
	}

	/** An array of which a part is filled and not consumed. */
	private static final class Block {

		private final byte[] bytes;

		private int start;

		private int end;

		private Block(byte[] bytes, int start, int end) {
			this.bytes = bytes;
			this.start = start;
			this.end = end;
		}

	}

	/** Receives a part of the bytes that are consumed. */
	@FunctionalInterface
	private interface Consumer {

		void accept(byte[] source, int start, int end);

	}

}
