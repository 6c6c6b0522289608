package io.burdockpin.core.batch.lead.explore;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Delays, loses and holds back messages between the scheduler and hosts. */
final class ModelNetwork {

	private static final int MINIMUM_LATE_MILLIS = 2_000;

	private static final int MAXIMUM_LATE_MILLIS = 10_000;

	private static final int MAXIMUM_DELAY_MILLIS = 5;

	private final VirtualTime time;

	private final RandomGenerator random;

	private final Set<String> cutTo = new HashSet<>();

	private final Set<String> cutFrom = new HashSet<>();

	private double lostShare;

	private double lateShare;

	private double repeatedShare;

	ModelNetwork(VirtualTime time, RandomGenerator random) {
		this.time = time;
		this.random = random;
	}

	void disturb(double newLostShare, double newLateShare, double newRepeatedShare) {
		this.lostShare = newLostShare;
		this.lateShare = newLateShare;
		this.repeatedShare = newRepeatedShare;
	}

	void calm() {
		disturb(0, 0, 0);
		this.cutTo.clear();
		this.cutFrom.clear();
	}

	void cutTo(String host, long forMillis) {
		this.cutTo.add(host);
		this.time.after(forMillis, () -> this.cutTo.remove(host));
	}

	void cutFrom(String host, long forMillis) {
		this.cutFrom.add(host);
		this.time.after(forMillis, () -> this.cutFrom.remove(host));
	}

	/** Delivers a message to a host, or not. */
	void deliverTo(String host, Delivery delivery) {
		deliver(this.cutTo.contains(host), delivery);
	}

	/** Delivers a message from a host, or not. */
	void deliverFrom(String host, Delivery delivery) {
		deliver(this.cutFrom.contains(host), delivery);
	}

	private void deliver(boolean isCut, Delivery delivery) {
		if (isCut || this.random.nextDouble() < this.lostShare) {
			return;
		}
		boolean isLate = this.random.nextDouble() < this.lateShare;
		this.time.after(delayMillis(isLate), () -> delivery.run(isLate));
		if (this.random.nextDouble() < this.repeatedShare) {
			this.time.after(delayMillis(true), () -> delivery.run(true));
		}
	}

	private long delayMillis(boolean isLate) {
		return isLate ? this.random.nextInt(MINIMUM_LATE_MILLIS, MAXIMUM_LATE_MILLIS)
				: 1 + this.random.nextInt(MAXIMUM_DELAY_MILLIS);
	}

	/** What a message does on arrival. */
	interface Delivery {

		void run(boolean isLate);

	}

}
