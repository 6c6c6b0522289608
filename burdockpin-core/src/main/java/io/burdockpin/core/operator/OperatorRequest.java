package io.burdockpin.core.operator;

import java.util.OptionalLong;

import io.burdockpin.core.client.MemberChangeKind;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * A request of an operator to an entry host. Changes are idempotent: a resend with the
 * same request identifier gets the first result.
 */
public sealed interface OperatorRequest {

	/**
	 * Changes the configuration, a campaign or a job.
	 *
	 * @param requestId identifier for the deduplication of resends
	 * @param expectedVersion version of the object that the operator read last, or empty
	 * to change any version
	 * @param command the command, of a type that {@link #permits} accepts; a host that is
	 * added stays awaited until its worker reports
	 */
	record Change(RequestId requestId, OptionalLong expectedVersion, Command command) implements OperatorRequest {

		public Change {
			if (!permits(command)) {
				throw new InvalidValueException("operators cannot send the command %s with a change request"
					.formatted(command.getClass().getSimpleName()));
			}
			command = (command instanceof ConfigurationCommand.AddHost add) ? add.awaited() : command;
		}

		/**
		 * Returns whether operators may send a command with this request. Keys are
		 * withdrawn with {@link WithdrawKey} instead, which takes effect immediately.
		 * @param command the command to check
		 * @return {@code true} if operators may send the command
		 */
		public static boolean permits(Command command) {
			if (command instanceof ConfigurationCommand.SetHostState change) {
				return change.cause() == ChangeCause.OPERATOR;
			}
			if (command instanceof ConfigurationCommand) {
				return !(command instanceof ConfigurationCommand.WithdrawKey);
			}
			return command instanceof MaintenanceCommand || command instanceof JobCommand.CancelJob
					|| command instanceof JobCommand.UnparkJob || endsJob(command);
		}

		private static boolean endsJob(Command command) {
			return command instanceof JobCommand.FinishJob || command instanceof JobCommand.InterruptJob;
		}

	}

	/**
	 * Queries records.
	 *
	 * @param query the selection of records
	 */
	record Ask(Query query) implements OperatorRequest {

	}

	/**
	 * Changes the members of the control group, one at a time.
	 *
	 * @param requestId identifier for the deduplication of resends
	 * @param kind whether to add, replace or remove the member
	 * @param host host on which the member runs
	 * @param incarnation identifier of the data folder of the new member, 0 for a removal
	 * @param address where the new member listens for other members, {@code ip:port}, or
	 * an empty string for a removal
	 */
	record ChangeMember(RequestId requestId, MemberChangeKind kind, HostName host, long incarnation,
			String address) implements OperatorRequest {

	}

	/**
	 * Withdraws a key permanently. Takes effect immediately at the entry host that
	 * receives the request.
	 *
	 * @param requestId identifier for the deduplication of resends
	 * @param keyHash SHA-256 hash of the key
	 */
	record WithdrawKey(RequestId requestId, KeyHash keyHash) implements OperatorRequest {

	}

	/**
	 * Declares an entry host destroyed, so that its tokens are released after the maximum
	 * request duration.
	 *
	 * @param requestId identifier for the deduplication of resends
	 * @param host name of the destroyed entry host
	 */
	record ForgetHolder(RequestId requestId, HostName host) implements OperatorRequest {

	}

}
