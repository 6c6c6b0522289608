package io.burdockpin.runtime.http;

import org.apache.pekko.Done;
import org.apache.pekko.stream.stage.AsyncCallback;

/**
 * A connection of a caller. May be used by any thread.
 *
 * @param ending tells the stream of the connection to end
 */
public record OpenConnection(AsyncCallback<Done> ending) {

	/** Ends the connection after the answer under way. */
	public void end() {
		this.ending.invoke(Done.getInstance());
	}

}
