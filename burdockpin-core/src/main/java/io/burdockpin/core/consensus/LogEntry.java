package io.burdockpin.core.consensus;

/**
 * An entry of the replicated log.
 *
 * @param index position in the log, starting at 1
 * @param term the term of the leader that appended the entry
 * @param content a command or a membership
 */
public record LogEntry(long index, long term, EntryContent content) {

	/**
	 * Returns the approximate encoded size.
	 * @return the size in bytes
	 */
	public int sizeBytes() {
		int overheadBytes = 64;
		return (this.content instanceof EntryContent.CommandContent command)
				? command.payload().lengthBytes() + overheadBytes : 16 * overheadBytes;
	}

}
