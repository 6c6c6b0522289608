package io.burdockpin.core.batch.call;

import java.util.Optional;

import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerRecord;

/** A call that the leader answers. Each may be sent again without harm. Immutable. */
public sealed interface FleetCall {

	/**
	 * Tells whether a member that does not lead may answer.
	 * @return whether to ask the member at hand before the leader
	 */
	default boolean isAnsweredByFollowers() {
		return false;
	}

	/** A call about a job or a queue, made with a key unless the queue is open. */
	sealed interface CallerCall extends FleetCall {

		/**
		 * Returns the virtual host that the caller addresses.
		 * @return the host
		 */
		String host();

		/**
		 * Returns the path: the prefix of a queue and the identifier of a job.
		 * @return the path
		 */
		String path();

		/**
		 * Returns the key of the caller.
		 * @return the key, if one came with the call
		 */
		Optional<String> key();

	}

	/**
	 * Hands in a job.
	 *
	 * @param host the virtual host
	 * @param path the path
	 * @param key the key
	 * @param spec what the caller asks for
	 */
	record Submit(String host, String path, Optional<String> key, JobSpec spec) implements CallerCall {

	}

	/**
	 * Asks for the state of a job, or of a queue if the path names no job.
	 *
	 * @param host the virtual host
	 * @param path the path
	 * @param key the key
	 */
	record Look(String host, String path, Optional<String> key) implements CallerCall {

	}

	/**
	 * Cancels a job.
	 *
	 * @param host the virtual host
	 * @param path the path
	 * @param key the key
	 */
	record Cancel(String host, String path, Optional<String> key) implements CallerCall {

	}

	/**
	 * Puts a configuration in force.
	 *
	 * @param configuration the configuration
	 */
	record PutConfiguration(FleetConfiguration configuration) implements FleetCall {

	}

	/** Asks for the configuration in force. */
	record ReadConfiguration() implements FleetCall {

	}

	/**
	 * Announces a runner.
	 *
	 * @param runner what it says of itself
	 * @param sequence rises with each announcement of one life
	 */
	record Announce(RunnerRecord runner, long sequence) implements FleetCall {

		@Override
		public boolean isAnsweredByFollowers() {
			return true;
		}

	}

	/**
	 * Tells that a runner ends.
	 *
	 * @param runner its identifier
	 */
	record Leave(String runner) implements FleetCall {

	}

	/**
	 * Orders a maintenance wave.
	 *
	 * @param wave the wave
	 */
	record OrderWave(MaintenanceWave wave) implements FleetCall {

	}

	/**
	 * Asks how far a maintenance wave is.
	 *
	 * @param number the number of the wave
	 */
	record LookAtWave(long number) implements FleetCall {

	}

	/**
	 * Asks to be a member of the control group.
	 *
	 * @param host the host
	 * @param incarnation identifies the data folder
	 * @param address where it listens for members
	 */
	record Join(String host, long incarnation, String address) implements FleetCall {

	}

	/** Asks whether the receiver leads. */
	record Check() implements FleetCall {

	}

}
