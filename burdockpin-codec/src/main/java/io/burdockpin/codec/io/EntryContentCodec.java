package io.burdockpin.codec.io;

import io.burdockpin.core.consensus.EntryContent;

/**
 * Turns the content of log entries into the payload of log records and back.
 * Implementations are immutable.
 */
public interface EntryContentCodec {

	/**
	 * Encodes the content of a log entry.
	 * @param content the content
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
