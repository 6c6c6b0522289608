package io.burdockpin.core.batch.call;

import java.util.Optional;

import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerRecord;

/** A call that the leader answers. All calls are idempotent. Immutable. */
public sealed interface FleetCall {

	/**
	 * Tells whether a follower may answer the call.
	 * @return whether to send the call to the local member first
	 */
	default boolean isAnsweredByFollowers() {
		return false;
	}

	/** A call about a job or a queue. Needs a key unless the queue is open. */
	sealed interface CallerCall extends FleetCall {

		/**
		 * Returns the virtual host that the caller addresses.
		 * @return the host name
		 */
		String host();

		/**
		 * Returns the path: the path prefix of a queue, followed by the identifier of a
		 * job.
		 * @return the path; the identifier is missing in calls about the queue itself
		 */
		String path();

		/**
		 * Returns the key of the caller.
		 * @return empty if the call was sent without a key
		 */
		Optional<String> key();

	}

	/**
	 * Submits a job.
	 *
	 * @param host the virtual host
	 * @param path the path, which names the job
	 * @param key the key of the caller
	 * @param spec the specification of the job
	 */
	record Submit(String host, String path, Optional<String> key, JobSpec spec) implements CallerCall {

	}

	/**
	 * Queries the status of a job, or of a queue if the path names no job.
	 *
	 * @param host the virtual host
	 * @param path the path, which names a job or only a queue
	 * @param key the key of the caller
	 */
	record Look(String host, String path, Optional<String> key) implements CallerCall {

	}

	/**
	 * Cancels a job.
	 *
	 * @param host the virtual host
	 * @param path the path, which names the job
	 * @param key the key of the caller
	 */
	record Cancel(String host, String path, Optional<String> key) implements CallerCall {

	}

	/**
	 * Replaces the configuration.
	 *
	 * @param configuration the new configuration
	 */
	record PutConfiguration(FleetConfiguration configuration) implements FleetCall {

	}

	/** Reads the configuration in force. */
	record ReadConfiguration() implements FleetCall {

	}

	/**
	 * Announces a runner.
	 *
	 * @param runner the attributes of the runner
	 * @param sequence increases with each announcement of one incarnation
	 */
	record Announce(RunnerRecord runner, long sequence) implements FleetCall {

		@Override
		public boolean isAnsweredByFollowers() {
			return true;
		}

	}

	/**
	 * Announces that a runner shuts down.
	 *
	 * @param runner the identifier of the runner
	 */
	record Leave(String runner) implements FleetCall {

	}

	/**
	 * Orders a maintenance wave.
	 *
	 * @param wave the hosts and limits of the wave
	 */
	record OrderWave(MaintenanceWave wave) implements FleetCall {

	}

	/**
	 * Queries the status of a maintenance wave.
	 *
	 * @param number the number of the wave
	 */
	record LookAtWave(long number) implements FleetCall {

	}

	/** An order of an operator about a data centre. */
	sealed interface DataCentreCall extends FleetCall {

		/**
		 * Returns the data centre.
		 * @return the name, which may be unknown
		 */
		String dataCentre();

		/**
		 * Returns who gives the order.
		 * @return text for operators
		 */
		String origin();

	}

	/**
	 * Closes a data centre: nothing is started there until it is opened.
	 *
	 * @param dataCentre the name of the data centre
	 * @param origin who gives the order
	 */
	record CloseDataCentre(String dataCentre, String origin) implements DataCentreCall {

	}

	/**
	 * Opens a data centre.
	 *
	 * @param dataCentre the name of the data centre
	 * @param origin who gives the order
	 */
	record OpenDataCentre(String dataCentre, String origin) implements DataCentreCall {

	}

	/** Queries the known data centres. */
	record LookAtDataCentres() implements FleetCall {

	}

	/**
	 * Requests to join the control group.
	 *
	 * @param host the host of the new member
	 * @param incarnation identifies the data folder of the new member
	 * @param address where it listens for other members, {@code ip:port}
	 * @param dataCentre the data centre of the host; empty in calls of earlier versions
	 */
	record Join(String host, long incarnation, String address, Optional<String> dataCentre) implements FleetCall {

	}

	/**
	 * Asks where a job would be placed now, and why. Changes nothing and leaves no log
	 * entry.
	 *
	 * @param job identifier of an accepted job; empty if a submission is given
	 * @param submission the call that would submit the job; empty if an identifier is
	 * given
	 */
	record ExplainPlacement(Optional<String> job, Optional<Submit> submission) implements FleetCall {

	}

	/** Queries whether the receiver is the leader. */
	record Check() implements FleetCall {

	}

}
