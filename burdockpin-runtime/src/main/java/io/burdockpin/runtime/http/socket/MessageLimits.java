package io.burdockpin.runtime.http.socket;

import io.burdockpin.core.util.Checks;

/**
 * Limits of one received message. Immutable.
 *
 * @param headBytes length of the header section with the first line and the empty line at
 * its end
 * @param headFields number of header fields
 * @param bodyBytes length of the body without the framing of chunks
 * @param chunkOverheadBytes length of the framing of all chunks of a body, with trailers
 * @param emptyLineBytes length of the empty lines before a message
 */
public record MessageLimits(int headBytes, int headFields, int bodyBytes, int chunkOverheadBytes, int emptyLineBytes) {

	/** For listeners and clients whose peers need no other limits. */
	public static final MessageLimits DEFAULT = new MessageLimits(20 * 1_024, 200, 512 * 1_024, 4 * 1_024 * 1_024, 64);

	public MessageLimits {
		Checks.range("headBytes", headBytes, 256, 1_024 * 1_024);
		Checks.range("headFields", headFields, 1, 10_000);
		Checks.range("bodyBytes", bodyBytes, 0, 64 * 1_024 * 1_024);
		Checks.range("chunkOverheadBytes", chunkOverheadBytes, 64, 256 * 1_024 * 1_024);
		Checks.range("emptyLineBytes", emptyLineBytes, 0, 64 * 1_024);
	}

	/**
	 * Returns a copy with another limit of the body.
	 * @param bytes length of the body
	 * @return the limits
	 */
	public MessageLimits withBodyBytes(int bytes) {
		return new MessageLimits(this.headBytes, this.headFields, bytes, this.chunkOverheadBytes, this.emptyLineBytes);
	}

}
