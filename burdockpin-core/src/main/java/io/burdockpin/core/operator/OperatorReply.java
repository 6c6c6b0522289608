package io.burdockpin.core.operator;

import java.util.List;

import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.state.CommandResult;

/** The reply to an {@link OperatorRequest}. */
public sealed interface OperatorReply {

	/**
	 * Creates the reply to a command that the state machine has processed.
	 * @param index the log index of the change
	 * @param result result of the state machine
	 * @param unconfirmed data centres with entry hosts that have not confirmed the change
	 * @return {@link Changed} or {@link Failed}
	 */
	static OperatorReply ofResult(long index, CommandResult result, List<DataCentre> unconfirmed) {
		if (result instanceof CommandResult.Accepted accepted) {
			return new Changed(index, accepted.version(), unconfirmed);
		}
		CommandResult.Rejected rejected = (CommandResult.Rejected) result;
		return Failed.of(rejected.code(), rejected.message());
	}

	/**
	 * A change took effect.
	 *
	 * @param index the log index of the change
	 * @param version the new version of the changed object
	 * @param unconfirmed data centres with entry hosts that have not confirmed the change
	 */
	record Changed(long index, long version, List<DataCentre> unconfirmed) implements OperatorReply {

		public Changed {
			unconfirmed = List.copyOf(unconfirmed);
		}

	}

	/**
	 * The result of a query.
	 *
	 * @param index applied log index of the control member that answered
	 * @param current whether a majority confirmed that the member is up to date;
	 * otherwise the records may be stale
	 * @param result the selected records
	 */
	record Answered(long index, boolean current, QueryResult result) implements OperatorReply {

	}

	/**
	 * A key no longer works at the entry host that received the withdrawal.
	 *
	 * @param committed whether the withdrawal is in the replicated log; otherwise it is
	 * proposed again until it is
	 * @param unconfirmed data centres with entry hosts that have not confirmed the
	 * withdrawal
	 */
	record Withdrawn(boolean committed, List<DataCentre> unconfirmed) implements OperatorReply {

		public Withdrawn {
			unconfirmed = List.copyOf(unconfirmed);
		}

	}

	/**
	 * The request was rejected, or its outcome is not known.
	 *
	 * @param code the stable error code
	 * @param outcome whether the change may have taken effect
	 * @param message the reason, for people
	 */
	record Failed(ErrorCode code, Outcome outcome, String message) implements OperatorReply {

		/**
		 * Creates a failure with the outcome that its error code implies.
		 * @param code the stable error code
		 * @param message the reason, for people
		 * @return the failure
		 */
		public static Failed of(ErrorCode code, String message) {
			return new Failed(code, code.outcome(), message);
		}

	}

}
