package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobRecord;

/** Learns from what workers report about jobs. */
@FunctionalInterface
public interface JobObserver {

	/**
	 * Takes a report about a job that holds capacity on the reporting worker.
	 * @param job the record of the job
	 * @param report what the worker says
	 * @param worker the worker
	 * @param nowMillis when the report arrived
	 * @return a command that replaces the usual reaction, or nothing
	 */
	Optional<Command> observe(JobRecord job, JobReport report, HostName worker, long nowMillis);

}
