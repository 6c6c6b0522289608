package io.burdockpin.core.batch.call;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.batch.lead.place.PlacementExplanation;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.model.Payload;

/** The reply to a {@link FleetCall}. Immutable. */
public sealed interface FleetReply {

	/** The call took effect, now or earlier, and its effect is durable. */
	record Accepted() implements FleetReply {

	}

	/**
	 * Status of a job.
	 *
	 * @param phase the phase of the job
	 */
	record JobStatus(BatchJobPhase phase) implements FleetReply {

	}

	/**
	 * Status of a queue.
	 *
	 * @param waitingCount number of jobs of which no task has been started yet
	 */
	record QueueStatus(long waitingCount) implements FleetReply {

	}

	/**
	 * The configuration in force.
	 *
	 * @param document the document as the operator sent it
	 */
	record Configuration(Payload document) implements FleetReply {

	}

	/**
	 * Status of a maintenance wave.
	 *
	 * @param completed whether the wave has nothing left to do for any of its hosts
	 */
	record WaveStatus(boolean completed) implements FleetReply {

	}

	/**
	 * Status of the known data centres.
	 *
	 * @param dataCentres one entry for each, sorted by name
	 */
	record DataCentres(List<DataCentreStatus> dataCentres) implements FleetReply {

		public DataCentres {
			dataCentres = List.copyOf(dataCentres);
		}

	}

	/**
	 * Status of a data centre.
	 *
	 * @param name the name of the data centre
	 * @param closing the order by which it is closed; empty if it is open
	 * @param runners number of registered runners
	 * @param tasks number of tasks that are assigned to its runners and have not ended
	 */
	record DataCentreStatus(String name, Optional<DataCentreClosing> closing, int runners, int tasks) {

	}

	/**
	 * Where a job would be placed now.
	 *
	 * @param explanation the places and the reasons
	 */
	record Placement(PlacementExplanation explanation) implements FleetReply {

	}

	/**
	 * The call had no effect and will have none.
	 *
	 * @param reason the reason of the refusal
	 * @param retryAfterMillis delay before a retry; empty if a retry is of no use
	 */
	record Refused(Reason reason, Optional<Integer> retryAfterMillis) implements FleetReply {

	}

	/**
	 * The receiver is not the leader; the call had no effect.
	 *
	 * @param leader the host of the leader, if the receiver knows it
	 * @param members the hosts of the control group
	 */
	record NotLeader(Optional<String> leader, List<String> members) implements FleetReply {

		public NotLeader {
			members = List.copyOf(members);
		}

	}

	/**
	 * The receiver is the leader.
	 *
	 * @param members the hosts of the control group
	 */
	record Leads(List<String> members) implements FleetReply {

		public Leads {
			members = List.copyOf(members);
		}

	}

	/** No reply arrived in time; whether the call took effect is unknown. */
	record Unknown() implements FleetReply {

	}

	/** Why a call is refused. */
	enum Reason {

		/** No queue has the host and path of the call. */
		NO_SUCH_QUEUE,

		/** The key is missing or unknown. */
		KEY_REFUSED,

		/** The workspace of the caller has no such job in the queue. */
		NO_SUCH_JOB,

		/** No wave has that number. */
		NO_SUCH_WAVE,

		/** Neither the settings nor a registered runner have that data centre. */
		NO_SUCH_DATA_CENTRE,

		/** No configuration is in force yet. */
		NO_CONFIGURATION,

		/** The content of the call is not valid. */
		INVALID,

		/**
		 * The job would end too late to be of use, even before all other new ones, or the
		 * members do not have the memory or the processor time for it. It was not stored.
		 * Without a delay before a retry, the job itself is too large.
		 */
		OVERLOADED,

		/**
		 * No leader was reached in time; the call was not sent or was rejected without
		 * effect.
		 */
		NO_LEADER

	}

}
