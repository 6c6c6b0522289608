package io.burdockpin.core.state;

/**
 * A change of the replicated state. Commands are immutable; they carry no time and do not
 * depend on an encoding.
 */
public sealed interface Command
		permits ConfigurationCommand, TokenCommand, ClaimCommand, JobCommand, MaintenanceCommand {

}
