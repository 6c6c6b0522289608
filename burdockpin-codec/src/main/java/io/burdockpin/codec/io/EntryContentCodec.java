package io.burdockpin.codec.io;

import io.burdockpin.core.consensus.EntryContent;

/**
 * Encodes the content of log entries as the payload of log records, and decodes it.
 * Implementations are immutable.
 */
public interface EntryContentCodec {

	/**
	 * Encodes the content of a log entry.
	 * @param content a command or a new membership
	 * @return the payload of a log record
	 */
	byte[] encode(EntryContent content);

	/**
	 * Decodes the content of a log entry.
	 * @param bytes the payload of a log record
	 * @return the content
	 * @throws io.burdockpin.core.exc.BurdockException with code {@code DECODE_FAILED} if
	 * the bytes are malformed
	 */
	EntryContent decode(byte[] bytes);

}
