package io.burdockpin.runtime.link;

import java.util.Optional;

import org.apache.pekko.stream.ActorAttributes;
import org.apache.pekko.stream.Attributes;

/**
 * Settings of links. Immutable.
 *
 * @param connectTimeoutMillis timeout of a connection attempt
 * @param initialReconnectDelayMillis delay before the first reconnect attempt; doubles
 * with each failed attempt, because an attempt takes several milliseconds of processor
 * time on a small host
 * @param maximumReconnectDelayMillis upper bound of the delay
 * @param maximumFrameBytes largest frame in either direction
 * @param sendBufferFrames capacity of the send queue; frames beyond it are dropped
 * @param transport plain TCP or TLS
 * @param dispatcher path of the dispatcher for the streams of links; empty for the
 * default dispatcher
 */
public record LinkSettings(int connectTimeoutMillis, int initialReconnectDelayMillis, int maximumReconnectDelayMillis,
		int maximumFrameBytes, int sendBufferFrames, LinkTransport transport, Optional<String> dispatcher) {

	/** Keeps the shift in range; the delay reaches its maximum earlier. */
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
	 * Returns a copy with another frame size.
	 * @param bytes the largest frame in either direction
	 * @return the copy
	 */
	public LinkSettings withMaximumFrameBytes(int bytes) {
		return new LinkSettings(this.connectTimeoutMillis, this.initialReconnectDelayMillis,
				this.maximumReconnectDelayMillis, bytes, this.sendBufferFrames, this.transport, this.dispatcher);
	}

	/**
	 * Returns a copy whose streams run on a dispatcher of their own, so that other work
	 * does not delay them.
	 * @param name the path of the dispatcher in the configuration
	 * @return the copy
	 */
	public LinkSettings withDispatcher(String name) {
		return new LinkSettings(this.connectTimeoutMillis, this.initialReconnectDelayMillis,
				this.maximumReconnectDelayMillis, this.maximumFrameBytes, this.sendBufferFrames, this.transport,
				Optional.of(name));
	}

	/**
	 * Returns the delay before the next connection attempt.
	 * @param failedAttempts number of failed attempts since the last connection
	 * @return the delay in milliseconds
	 */
	int reconnectDelayMillis(int failedAttempts) {
		long delayMillis = (long) this.initialReconnectDelayMillis << Math.min(failedAttempts, MAXIMUM_DOUBLINGS);
		return (int) Math.min(delayMillis, this.maximumReconnectDelayMillis);
	}

	Attributes attributes() {
		return this.dispatcher.map(ActorAttributes::dispatcher).orElse(Attributes.none());
	}

}
