package io.burdockpin.control.replica;

import java.util.Optional;

import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.Proposal;

/**
 * A command that the state machine has applied. Immutable.
 *
 * @param index log index of the command
 * @param proposal the command
 * @param result result of the command
 * @param previousConfigurationIndex configuration index before the command
 * @param configurationIndex configuration index after the command
 * @param jobBefore state of the affected job before the command; empty unless the command
 * places, finishes or interrupts a job
 */
record AppliedCommand(long index, Proposal proposal, CommandResult result, long previousConfigurationIndex,
		long configurationIndex, Optional<JobRecord> jobBefore) {

	// A duplicate of an accepted command returns the first result, which has an older
	// version.
	boolean isChange() {
		return this.result instanceof CommandResult.Accepted accepted && accepted.version() == this.index;
	}

	boolean isConfigurationChange() {
		return this.configurationIndex != this.previousConfigurationIndex
				&& this.proposal.command() instanceof ConfigurationCommand;
	}

	// A duplicate of an accepted command changes nothing but still returns its first
	// result.
	boolean needsConfirmation() {
		return this.proposal.command() instanceof ConfigurationCommand && this.result instanceof CommandResult.Accepted;
	}

}
