package io.burdockpin.runtime.link;

/**
 * Settings of links. Immutable.
 *
 * @param connectTimeoutMillis how long a connection attempt may take
 * @param reconnectMillis pause between connection attempts
 * @param maximumFrameBytes largest frame in either direction
 * @param sendBufferFrames how many frames may wait to be sent
 * @param transport how the bytes travel
 */
public record LinkSettings(int connectTimeoutMillis, int reconnectMillis, int maximumFrameBytes, int sendBufferFrames,
		LinkTransport transport) {

	/** The defaults. */
	public static final LinkSettings DEFAULT = new LinkSettings(1000, 200, 4 * 1024 * 1024, 1024, LinkTransport.PLAIN);

	/**
	 * Returns a copy with another transport.
	 * @param newTransport the transport
	 * @return the copy
	 */
	public LinkSettings withTransport(LinkTransport newTransport) {
		return new LinkSettings(this.connectTimeoutMillis, this.reconnectMillis, this.maximumFrameBytes,
				this.sendBufferFrames, newTransport);
	}

}
