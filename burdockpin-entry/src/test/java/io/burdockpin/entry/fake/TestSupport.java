package io.burdockpin.entry.fake;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** Waits for messages with a timeout. */
public final class TestSupport {

	/** Generous, because it is only reached when a test fails. */
	private static final long MAX_WAIT_SECONDS = 15;

	private TestSupport() {
	}

	public static <M> M poll(BlockingQueue<M> queue) {
		try {
			M message = queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
			if (message == null) {
				throw new AssertionError("no message arrived within %d s".formatted(MAX_WAIT_SECONDS));
			}
			return message;
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

}
