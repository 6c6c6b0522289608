package io.burdockpin.testbench.load;

/** How the demand for each queue changes over time in an open loop. */
public enum DemandShape {

	/** Each queue gets its mean all the time. */
	CONSTANT {
		@Override
		double factor(int queueIndex, int queueCount, long elapsedMillis, long turnMillis) {
			return 1;
		}
	},

	/**
	 * The queues take turns. In its turn a queue gets five times its mean, otherwise a
	 * twentieth, as design section 1.6 says.
	 */
	ROTATING {
		@Override
		double factor(int queueIndex, int queueCount, long elapsedMillis, long turnMillis) {
			boolean inTurn = (elapsedMillis / turnMillis) % queueCount == queueIndex;
			return inTurn ? PEAK_FACTOR : REST_FACTOR;
		}
	};

	private static final double PEAK_FACTOR = 5;

	private static final double REST_FACTOR = 0.05;

	/**
	 * Returns the demand of a queue relative to its mean.
	 * @param queueIndex number of the queue from 0
	 * @param queueCount number of queues
	 * @param elapsedMillis time since the start
	 * @param turnMillis length of a turn
	 * @return the factor
	 */
	abstract double factor(int queueIndex, int queueCount, long elapsedMillis, long turnMillis);

}
