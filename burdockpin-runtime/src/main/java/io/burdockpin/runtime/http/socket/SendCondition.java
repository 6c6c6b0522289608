package io.burdockpin.runtime.http.socket;

/** Tells whether a request may still be sent. Read by the actor that owns the socket. */
@FunctionalInterface
public interface SendCondition {

	/**
	 * Tells whether the request may be sent now.
	 * @return {@code false} once it is too late
	 */
	boolean maySend();

}
