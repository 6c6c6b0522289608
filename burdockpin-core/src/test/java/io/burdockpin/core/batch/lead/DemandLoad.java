package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Load of queues whose demand peaks take turns: during its turn a queue asks for five
 * times its mean, otherwise for a twentieth of it. Immutable.
 *
 * @param meanPerSecond mean jobs per second of a queue
 * @param turns turns in the order of time
 * @param stragglerShare share of the tasks that take seven times as long
 */
public record DemandLoad(double meanPerSecond, List<Turn> turns, double stragglerShare) {

	private static final double PEAK_FACTOR = 5;

	private static final double BASE_FACTOR = 0.05;

	/**
	 * Share of a turn that the peak takes, so that four turns have the mean of the queue:
	 * 0.192 x 5 + 0.808 x 0.05 = 1.
	 */
	private static final double PEAK_SHARE = 0.77;

	/**
	 * Peaks of equal length in a fixed order.
	 * @param meanPerSecond mean jobs per second of a queue
	 * @param queues number of queues
	 * @param turnMillis duration of a turn
	 * @param totalMillis duration of the traffic
	 * @return the load, with 3 stragglers among 100 tasks
	 */
	static DemandLoad periodic(double meanPerSecond, int queues, int turnMillis, int totalMillis) {
		List<Turn> turns = new ArrayList<>();
		for (int start = 0; start < totalMillis; start += turnMillis) {
			turns.add(new Turn(turns.size() % queues, start, Math.min(turnMillis, totalMillis - start), true));
		}
		return new DemandLoad(meanPerSecond, turns, 0.03);
	}

	/**
	 * Peaks of random length of random queues, without a period.
	 * @param meanPerSecond mean jobs per second of a queue
	 * @param queues number of queues
	 * @param totalMillis duration of the traffic
	 * @param seed seed of the turns
	 * @return the load
	 */
	static DemandLoad irregular(double meanPerSecond, int queues, int totalMillis, long seed) {
		Random random = new Random(seed);
		List<Turn> turns = new ArrayList<>();
		for (int start = 0; start < totalMillis;) {
			int millis = Math.min(1_500 + random.nextInt(5_500), totalMillis - start);
			turns.add(new Turn(random.nextInt(queues), start, millis, true));
			start += millis;
		}
		return new DemandLoad(meanPerSecond, turns, 0.03);
	}

	/**
	 * The same load, except that one peak fails to come.
	 * @param number number of the turn, from 0
	 * @return the changed load
	 */
	DemandLoad withoutPeak(int number) {
		List<Turn> changed = new ArrayList<>(this.turns);
		Turn turn = changed.get(number);
		changed.set(number, new Turn(turn.queue(), turn.startMillis(), turn.millis(), false));
		return new DemandLoad(this.meanPerSecond, changed, this.stragglerShare);
	}

	/**
	 * This load followed by another one.
	 * @param next load that begins when this one ends
	 * @return both loads in sequence
	 */
	DemandLoad then(DemandLoad next) {
		List<Turn> both = new ArrayList<>(this.turns);
		next.turns.forEach((turn) -> both
			.add(new Turn(turn.queue(), turn.startMillis() + totalMillis(), turn.millis(), turn.hasPeak())));
		return new DemandLoad(this.meanPerSecond, both, this.stragglerShare);
	}

	int totalMillis() {
		Turn last = this.turns.get(this.turns.size() - 1);
		return last.startMillis() + last.millis();
	}

	double ratePerSecond(int queue, long offsetMillis) {
		return this.meanPerSecond * (isPeak(queue, offsetMillis) ? PEAK_FACTOR : BASE_FACTOR);
	}

	boolean isPeak(int queue, long offsetMillis) {
		return this.turns.stream()
			.anyMatch((turn) -> turn.hasPeak() && turn.queue() == queue && offsetMillis >= turn.startMillis()
					&& offsetMillis < turn.startMillis() + PEAK_SHARE * turn.millis());
	}

	/**
	 * Turn of a queue.
	 *
	 * @param queue number of the queue
	 * @param startMillis time from the start of the traffic
	 * @param millis duration of the turn, in milliseconds
	 * @param hasPeak whether the peak comes
	 */
	record Turn(int queue, int startMillis, int millis, boolean hasPeak) {

	}

}
