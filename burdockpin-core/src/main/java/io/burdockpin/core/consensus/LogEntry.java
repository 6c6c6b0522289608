package io.burdockpin.core.consensus;

/**
 * An entry of the replicated log.
 *
 * @param index its position, from 1
 * @param term the term of the leader that appended it
 * @param content its content
 */
public record LogEntry(long index, long term, EntryContent content) {

	/**
	 * Returns the approximate size in a frame.
	 * @return the size in bytes
	 */
	public int sizeBytes() {
		int overheadBytes = 64;
		return (this.content instanceof EntryContent.CommandContent command)
				? command.payload().lengthBytes() + overheadBytes : 16 * overheadBytes;
	}

}
