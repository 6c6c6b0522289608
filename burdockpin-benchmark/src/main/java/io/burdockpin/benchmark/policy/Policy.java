package io.burdockpin.benchmark.policy;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.state.Command;

/** The decisions of a leader that a run measures. Used by one thread. */
public interface Policy {

	/**
	 * Reacts to a report.
	 * @param report the report
	 * @param jobs the jobs of the newest view
	 * @param nowMillis the virtual time
	 * @return commands and orders
	 */
	ReconciliationResult answer(WorkerReport report, JobIndex jobs, long nowMillis);

	/**
	 * Decides a placement round.
	 * @param view the current records
	 * @param jobs the jobs of the view
	 * @param nowMillis the virtual time
	 * @return the commands
	 */
	List<Command> place(FleetView view, JobIndex jobs, long nowMillis);

	/**
	 * Decides a maintenance round.
	 * @param view the current records
	 * @param jobs the jobs of the view
	 * @param nowMillis the virtual time
	 * @return the commands
	 */
	List<Command> maintain(FleetView view, JobIndex jobs, long nowMillis);

	/** Forgets everything that a new leader does not know. */
	void restart();

}
