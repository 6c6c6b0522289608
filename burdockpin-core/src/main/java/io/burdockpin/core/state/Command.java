package io.burdockpin.core.state;

/**
 * A change of the replicated state. Commands are immutable and carry neither encoding nor
 * time.
 */
public sealed interface Command
		permits ConfigurationCommand, TokenCommand, ClaimCommand, JobCommand, MaintenanceCommand {

}
