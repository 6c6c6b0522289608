package io.burdockpin.core.batch.lead.run;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;

/** Result of an order to a runner. Immutable. */
public sealed interface RunnerReply {

	/**
	 * The order was carried out.
	 *
	 * @param clockMillis time of the runner's clock
	 */
	record Accepted(long clockMillis) implements RunnerReply {

	}

	/**
	 * The order was refused and had no effect.
	 *
	 * @param refusal reason for the refusal
	 * @param clockMillis time of the runner's clock, or empty if not reported
	 */
	record Refused(Refusal refusal, OptionalLong clockMillis) implements RunnerReply {

	}

	/**
	 * Answer to {@link RunnerOrder.Heartbeat}.
	 *
	 * @param clockMillis time of the runner's clock
	 * @param runnerStartMillis start time of the runner, which identifies its
	 * incarnation, or empty if not reported
	 * @param running active runs
	 * @param ended ends that are not acknowledged yet, oldest first
	 * @param endsComplete whether the runner has listed all such ends; a runner limits
	 * their number, and lists the others once these are acknowledged
	 */
	record Listing(long clockMillis, OptionalLong runnerStartMillis, List<RunningTask> running,
			List<BatchCommand.End> ended, boolean endsComplete) implements RunnerReply {

		public Listing {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

		/**
		 * Checks whether this incarnation of the runner has answered.
		 * @param incarnation expected incarnation
		 * @return {@code false} if the listing names another start time
		 */
		public boolean mayBeOf(RunnerKey incarnation) {
			return this.runnerStartMillis.isEmpty() || this.runnerStartMillis.getAsLong() == incarnation.bornMillis();
		}

	}

	/** No answer arrived. */
	enum NoAnswer implements RunnerReply {

		/** The connection was refused, so the order did not reach the runner. */
		CONNECTION_REFUSED,

		/**
		 * The order was not sent, because the leadership was no longer confirmed. It says
		 * nothing about the runner.
		 */
		NOT_SENT,

		/**
		 * It is not known whether the order reached the runner. It may have been carried
		 * out or may still be.
		 */
		UNKNOWN

	}

	/** Reason why a runner refuses an order. */
	enum Refusal {

		/** The runner has seen a later leader. */
		FENCED,

		/** The run, or a later run of the task, was stopped or has ended there. */
		OUTDATED,

		/** The lease expiry time in the order has passed. */
		LEASE_EXPIRED,

		/** The runner has not enough free capacity for the task. */
		NO_CAPACITY,

		/** The permit of the placement adviser is missing or expired. */
		NO_PERMIT,

		/** The runner is unhealthy or overloaded. */
		UNAVAILABLE,

		/** Another runner is at the address. */
		OTHER_INCARNATION,

		/** The runner has started again under its identifier. */
		RESTARTED,

		/** The runner cannot parse the order. */
		MALFORMED

	}

	/**
	 * Active run.
	 *
	 * @param task task of the run
	 * @param run number of the run
	 * @param checkpoint saved checkpoint, empty if there is none
	 * @param percent completed share of the work, in percent
	 * @param load tail latency in milliseconds for a serving task, otherwise CPU usage in
	 * thousandths of a core
	 */
	record RunningTask(TaskId task, int run, String checkpoint, int percent, OptionalInt load) {

	}

}
