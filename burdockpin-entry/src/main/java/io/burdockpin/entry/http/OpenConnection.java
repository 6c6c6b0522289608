package io.burdockpin.entry.http;

import org.apache.pekko.Done;
import org.apache.pekko.stream.stage.AsyncCallback;

/**
 * A connection of a caller. May be used by any thread.
 *
 * @param ending tells the stream of the connection to end
 */
record OpenConnection(AsyncCallback<Done> ending) {

	/** Ends the connection after the answer under way. */
	void end() {
		this.ending.invoke(Done.getInstance());
	}

}
