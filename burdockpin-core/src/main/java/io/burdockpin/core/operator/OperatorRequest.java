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
 * What an operator asks an entry host for. A resend of a change with the same request
 * identifier gets the first result.
 */
public sealed interface OperatorRequest {

	/**
	 * Changes the configuration, a campaign or a job.
	 *
	 * @param requestId identifier for resends
	 * @param expectedVersion version of the object that the operator has seen
	 * @param command the change, of a kind that operators may ask for; a host that
	 * operators add is awaited until its worker reports
	 */
	record Change(RequestId requestId, OptionalLong expectedVersion, Command command) implements OperatorRequest {

		public Change {
			if (!permits(command)) {
				throw new InvalidValueException(
						"operators cannot ask for %s here".formatted(command.getClass().getSimpleName()));
			}
			command = (command instanceof ConfigurationCommand.AddHost add) ? add.awaited() : command;
		}

		/**
		 * Tells whether operators may ask for a command with this request. Keys are
		 * withdrawn with {@link WithdrawKey}, which takes effect at once.
		 * @param command the command
		 * @return {@code true} if the command may come from an operator
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
	 * Asks for records.
	 *
	 * @param query what is asked
	 */
	record Ask(Query query) implements OperatorRequest {

	}

	/**
	 * Changes the members of the control group, one at a time.
	 *
	 * @param requestId identifier for resends
	 * @param kind the kind of change
	 * @param host the host of the member
	 * @param incarnation identifies the data folder of the new member, 0 for a removal
	 * @param address where the new member listens for other members, {@code ip:port}, or
	 * an empty string for a removal
	 */
	record ChangeMember(RequestId requestId, MemberChangeKind kind, HostName host, long incarnation,
			String address) implements OperatorRequest {

	}

	/**
	 * Withdraws a key for good. Takes effect at once at the entry host that receives it.
	 *
	 * @param requestId identifier for resends
	 * @param keyHash hash of the key
	 */
	record WithdrawKey(RequestId requestId, KeyHash keyHash) implements OperatorRequest {

	}

	/**
	 * Declares an entry host destroyed, so that its tokens become free after the maximum
	 * request duration.
	 *
	 * @param requestId identifier for resends
	 * @param host the entry host
	 */
	record ForgetHolder(RequestId requestId, HostName host) implements OperatorRequest {

	}

}
