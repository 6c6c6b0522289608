package io.burdockpin.core.batch.lead.run;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;

/**
 * Decides whether runs may still be started at the time at which their orders are sent. A
 * start waits for its turn or is repeated for as long as its runner does not answer, and
 * the limit of its workspace may be lowered meanwhile. Not thread-safe; owned by the
 * leader.
 */
public final class StartPermissions {

	private final BatchState state;

	private boolean outdated = true;

	/** Workspaces whose runs take more than the configuration in force permits. */
	private Set<String> exceededWorkspaces = Set.of();

	/**
	 * Creates the decisions of a leader.
	 * @param state replicated state
	 */
	public StartPermissions(BatchState state) {
		this.state = state;
	}

	/** Handles a command that was applied to the state. */
	public void onApplied() {
		this.outdated = true;
	}

	/**
	 * Finds runs that must not be started any more. A run without an answer counts as
	 * running until its runner has listed its end or its lease has expired.
	 * @param session session with the runner
	 * @return runs that the runner has not confirmed and that are not being stopped
	 */
	public List<Run> revokedIn(RunnerSession session) {
		if (this.outdated) {
			this.outdated = false;
			this.exceededWorkspaces = this.state.configuration()
				.stream()
				.flatMap((current) -> current.workspaces().stream())
				.filter((workspace) -> workspace.isExceededBy(this.state.runs().chargedTo(workspace.name())))
				.map(Workspace::name)
				.collect(Collectors.toUnmodifiableSet());
		}
		return this.exceededWorkspaces.isEmpty() ? List.of()
				: session.unconfirmedRuns()
					.stream()
					.filter((run) -> this.exceededWorkspaces.contains(run.workspace()))
					.toList();
	}

}
