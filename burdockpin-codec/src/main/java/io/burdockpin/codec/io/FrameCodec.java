package io.burdockpin.codec.io;

/**
 * Encodes the messages of one protocol as frames, and decodes them. Implementations are
 * immutable.
 *
 * @param <M> type of the messages
 */
public interface FrameCodec<M> {

	/**
	 * Encodes a message.
	 * @param message a message of the protocol
	 * @return the frame without its length prefix
	 */
	byte[] encode(M message);

	/**
	 * Decodes a frame.
	 * @param frame the frame without its length prefix
	 * @return the message
	 * @throws io.burdockpin.core.exc.BurdockException if the frame is malformed
	 */
	M decode(byte[] frame);

}
