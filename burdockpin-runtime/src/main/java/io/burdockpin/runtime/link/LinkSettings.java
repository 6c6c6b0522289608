package io.burdockpin.runtime.link;

import java.util.Optional;

import org.apache.pekko.stream.ActorAttributes;
import org.apache.pekko.stream.Attributes;

/**
 * Settings of links. Immutable.
 *
 * @param connectTimeoutMillis how long a connection attempt may take
 * @param initialReconnectDelayMillis pause before the first new connection attempt; it
 * doubles with each attempt in vain, because an attempt costs a small host several
 * milliseconds of processor time
 * @param maximumReconnectDelayMillis where the pause stops growing
 * @param maximumFrameBytes largest frame in either direction
 * @param sendBufferFrames how many frames may wait to be sent
 * @param transport how the bytes travel
 * @param dispatcher runs the streams of links, if not the default one
 */
public record LinkSettings(int connectTimeoutMillis, int initialReconnectDelayMillis, int maximumReconnectDelayMillis,
		int maximumFrameBytes, int sendBufferFrames, LinkTransport transport, Optional<String> dispatcher) {

	/** Keeps the shift in range; the longest pause is reached before. */
	private static final int MAXIMUM_DOUBLINGS = 20;

	/** The defaults. */
	public static final LinkSettings DEFAULT = new LinkSettings(1000, 200, 1600, 4 * 1024 * 1024, 1024,
			LinkTransport.PLAIN, Optional.empty());

	/**
	 * Returns a copy with another transport.
	 * @param newTransport the transport
	 * @return the copy
	 */
	public LinkSettings withTransport(LinkTransport newTransport) {
		return new LinkSettings(this.connectTimeoutMillis, this.initialReconnectDelayMillis,
				this.maximumReconnectDelayMillis, this.maximumFrameBytes, this.sendBufferFrames, newTransport,
				this.dispatcher);
	}

	/**
	 * Returns a copy whose streams run apart from others, so that they do not wait for
	 * their work.
	 * @param name the path of the dispatcher in the configuration
	 * @return the copy
	 */
	public LinkSettings withDispatcher(String name) {
		return new LinkSettings(this.connectTimeoutMillis, this.initialReconnectDelayMillis,
				this.maximumReconnectDelayMillis, this.maximumFrameBytes, this.sendBufferFrames, this.transport,
				Optional.of(name));
	}

	/**
	 * Returns the pause before a connection attempt.
	 * @param failedAttempts how many attempts were in vain
	 * @return the pause in milliseconds
	 */
	int reconnectDelayMillis(int failedAttempts) {
		long delayMillis = (long) this.initialReconnectDelayMillis << Math.min(failedAttempts, MAXIMUM_DOUBLINGS);
		return (int) Math.min(delayMillis, this.maximumReconnectDelayMillis);
	}

	Attributes attributes() {
		return this.dispatcher.map(ActorAttributes::dispatcher).orElse(Attributes.none());
	}

}
