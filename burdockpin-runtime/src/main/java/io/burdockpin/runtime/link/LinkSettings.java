package io.burdockpin.runtime.link;

/**
 * Settings of links. Immutable.
 *
 * @param connectTimeoutMillis how long a connection attempt may take
 * @param reconnectMillis pause between connection attempts
 * @param maximumFrameBytes largest frame in either direction
 * @param sendBufferFrames how many frames may wait to be sent
 */
public record LinkSettings(int connectTimeoutMillis, int reconnectMillis, int maximumFrameBytes, int sendBufferFrames) {

	/** The defaults. */
	public static final LinkSettings DEFAULT = new LinkSettings(1000, 200, 4 * 1024 * 1024, 1024);

}
