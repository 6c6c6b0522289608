package io.burdockpin.runtime.http.socket;

/**
 * Decides whether a request may still be sent. Evaluated by the task that owns the
 * socket, on its thread, immediately before each write of bytes of the request; must not
 * block.
 */
@FunctionalInterface
public interface SendCondition {

	/**
	 * Returns whether the request may still be sent.
	 * @return {@code false} once the request must not be sent any more
	 */
	boolean maySend();

}
