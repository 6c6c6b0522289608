package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;

/** What became of an order to a runner. Immutable. */
public sealed interface RunnerReply {

	/**
	 * The order was carried out.
	 *
	 * @param clockMillis the clock of the runner
	 */
	record Accepted(long clockMillis) implements RunnerReply {

	}

	/**
	 * The order was refused and had no effect.
	 *
	 * @param refusal why
	 * @param clockMillis the clock of the runner, if it told it
	 */
	record Refused(Refusal refusal, OptionalLong clockMillis) implements RunnerReply {

	}

	/**
	 * Answer to {@link RunnerOrder.Hold}.
	 *
	 * @param clockMillis the clock of the runner
	 * @param runnerStartMillis when the runner started, if it told it
	 * @param running the runs under way
	 * @param ended the ends that were not acknowledged yet, oldest first
	 */
	record Listing(long clockMillis, OptionalLong runnerStartMillis, List<RunningTask> running,
			List<BatchCommand.End> ended) implements RunnerReply {

		public Listing {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

	}

	/** There is no answer; the order may have been carried out, or may be later. */
	enum NoAnswer implements RunnerReply {

		/** The connection was refused, so the order did not reach the runner. */
		CONNECTION_REFUSED,

		/** Nothing is known about the order. */
		UNKNOWN

	}

	/** Why a runner refuses an order. */
	enum Refusal {

		/** It has seen a later leader. */
		FENCED,

		/** The run, or a later one of the task, was stopped or has ended there. */
		OUTDATED,

		/** The lease end in the order has passed. */
		LEASE_EXPIRED,

		/** The task does not fit. */
		NO_CAPACITY,

		/** The permission of the placement adviser is missing or out of date. */
		NO_PERMIT,

		/** The runner is unwell or busy. */
		UNAVAILABLE,

		/** Another life of the runner has taken its place. */
		OTHER_INCARNATION,

		/** The runner cannot read the order. */
		MALFORMED

	}

	/**
	 * A run under way.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the saved progress, empty if there is none
	 * @param percent how far the task is
	 * @param load tail latency in milliseconds of a serving task, else processor in use
	 * in thousandths of a core
	 */
	record RunningTask(TaskId task, int run, String checkpoint, int percent, OptionalInt load) {

	}

}
