package io.burdockpin.control.replica;

import java.util.Optional;

import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.Proposal;

/**
 * A command that the state machine has applied. Immutable.
 *
 * @param index its log index
 * @param proposal the command
 * @param result its result
 * @param previousConfigurationIndex index of the configuration before
 * @param configurationIndex index of the configuration after
 * @param jobBefore the job that a command of a worker or planner found
 */
record AppliedCommand(long index, Proposal proposal, CommandResult result, long previousConfigurationIndex,
		long configurationIndex, Optional<JobRecord> jobBefore) {

	// A resend of an accepted command gets its first result, which has an older version.
	boolean isChange() {
		return this.result instanceof CommandResult.Accepted accepted && accepted.version() == this.index;
	}

	boolean isConfigurationChange() {
		return this.configurationIndex != this.previousConfigurationIndex
				&& this.proposal.command() instanceof ConfigurationCommand;
	}

	// A resend of an accepted command gets its first result although nothing changes.
	boolean needsConfirmation() {
		return this.proposal.command() instanceof ConfigurationCommand && this.result instanceof CommandResult.Accepted;
	}

}
