package io.burdockpin.runtime.http;

import org.apache.pekko.Done;
import org.apache.pekko.stream.stage.AsyncCallback;

/**
 * A connection of a caller. May be used by any thread.
 *
 * @param closeCallback tells the stream of the connection to end
 */
public record ConnectionHandle(AsyncCallback<Done> closeCallback) {

	/** Ends the connection after the answer under way. */
	public void closeAfterResponse() {
		this.closeCallback.invoke(Done.getInstance());
	}

}
