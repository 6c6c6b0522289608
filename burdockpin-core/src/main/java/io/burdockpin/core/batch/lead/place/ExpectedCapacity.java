package io.burdockpin.core.batch.lead.place;

import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.Run;

/** What the leader expects of the capacity of the fleet. Read only. */
public interface ExpectedCapacity {

	/** Expects no run to end and no host to arrive. */
	ExpectedCapacity UNKNOWN = new ExpectedCapacity() {

		@Override
		public OptionalLong remainingMillis(Run run) {
			return OptionalLong.empty();
		}

		@Override
		public List<Arrival> arrivals() {
			return List.of();
		}

	};

	/**
	 * Estimates the remaining time of a run.
	 * @param run run that may be in progress
	 * @return milliseconds from now, or empty if its end cannot be foreseen
	 */
	OptionalLong remainingMillis(Run run);

	/**
	 * Returns the hosts that are being moved.
	 * @return hosts whose rack is known and that are expected in their new pool
	 */
	List<Arrival> arrivals();

	/**
	 * Host that will arrive in a pool.
	 *
	 * @param runner its last runner, which tells the rack, the capacity and the labels
	 * @param pool destination pool
	 * @param remainingMillis time until it accepts tasks, in milliseconds from now
	 */
	record Arrival(RunnerRecord runner, String pool, long remainingMillis) {

	}

}
