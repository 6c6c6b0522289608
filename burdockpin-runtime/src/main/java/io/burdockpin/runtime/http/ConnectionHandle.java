package io.burdockpin.runtime.http;

import org.apache.pekko.Done;
import org.apache.pekko.stream.stage.AsyncCallback;

/**
 * Handle to the connection of a caller. Thread-safe.
 *
 * @param closeCallback asynchronous callback into the stream of the connection
 */
public record ConnectionHandle(AsyncCallback<Done> closeCallback) {

	/**
	 * Closes the connection after the response to the current request, if there is one.
	 */
	public void closeAfterResponse() {
		this.closeCallback.invoke(Done.getInstance());
	}

}
