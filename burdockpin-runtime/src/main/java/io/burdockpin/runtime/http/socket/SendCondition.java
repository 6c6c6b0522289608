package io.burdockpin.runtime.http.socket;

/**
 * Decides whether a request may still be sent. Evaluated by the actor that owns the
 * socket, immediately before it writes the request.
 */
@FunctionalInterface
public interface SendCondition {

	/**
	 * Returns whether the request may still be sent.
	 * @return {@code false} once the request must not be sent any more
	 */
	boolean maySend();

}
