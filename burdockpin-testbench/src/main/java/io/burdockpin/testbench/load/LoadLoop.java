package io.burdockpin.testbench.load;

/** When the load tool sends the next request. */
public enum LoadLoop {

	/** Keeps a number of requests in flight for each queue. */
	CLOSED {
		@Override
		int due(LoadSettings settings, int queueIndex, QueueProgress progress, long elapsedMillis) {
			return settings.concurrency() - progress.inFlight();
		}
	},

	/** Sends at a rate, whether or not earlier requests have been answered. */
	OPEN {
		@Override
		int due(LoadSettings settings, int queueIndex, QueueProgress progress, long elapsedMillis) {
			double factor = settings.shape()
				.factor(queueIndex, settings.queues().size(), elapsedMillis, settings.turnMillis());
			return progress.accrue(settings.requestsPerSecond() * factor, elapsedMillis);
		}
	};

	/**
	 * Returns how many requests to send now.
	 * @param settings the settings
	 * @param queueIndex number of the queue from 0
	 * @param progress what was sent to the queue
	 * @param elapsedMillis time since the start
	 * @return the number of requests, 0 or more
	 */
	abstract int due(LoadSettings settings, int queueIndex, QueueProgress progress, long elapsedMillis);

}
