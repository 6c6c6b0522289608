package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.util.Random;

import io.burdockpin.operator.client.EntryCaller;

/** Carries out every call and loses some of the answers. Used by one thread. */
public final class LossyCaller implements EntryCaller {

	private final EntryCaller caller;

	private final Random random;

	private final int lossPercent;

	private int lostCount;

	/**
	 * Creates a caller.
	 * @param caller carries out the calls
	 * @param seed decides which answers are lost
	 * @param lossPercent how many answers of a hundred are lost
	 */
	public LossyCaller(EntryCaller caller, long seed, int lossPercent) {
		this.caller = caller;
		this.random = new Random(seed);
		this.lossPercent = lossPercent;
	}

	@Override
	public byte[] call(String entry, byte[] body) throws IOException {
		byte[] answer = this.caller.call(entry, body);
		if (this.random.nextInt(100) < this.lossPercent) {
			this.lostCount++;
			throw new IOException("the answer was lost");
		}
		return answer;
	}

	/**
	 * Returns how many answers were lost.
	 * @return the count
	 */
	public int lostCount() {
		return this.lostCount;
	}

}
