package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobRecord;

/** Receives the job reports of workers. */
@FunctionalInterface
public interface JobObserver {

	/**
	 * Handles a report about a job that holds capacity on the reporting worker.
	 * @param job the replicated record of the job
	 * @param report the reported phase and usage of the job
	 * @param worker the worker that sent the report
	 * @param nowMillis when the report arrived
	 * @return a command that replaces the default one for the reported phase, or empty
	 */
	Optional<Command> observe(JobRecord job, JobReport report, HostName worker, long nowMillis);

}
