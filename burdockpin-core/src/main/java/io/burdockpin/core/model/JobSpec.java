package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Definition of a job, as submitted by a team. Resources and run time are estimates of
 * the team.
 *
 * @param team the submitting team
 * @param pool the pool whose hosts may run the job
 * @param resources the declared resources, with at least one millicore and one MiB
 * @param runMillis the declared run time, at most 30 days
 * @param urgent whether the job has priority over jobs that are not urgent
 * @param repeatable whether the job may be started again after its worker was lost
 * @param payload the input that is passed to the worker
 */
public record JobSpec(TeamName team, PoolName pool, Resources resources, long runMillis, boolean urgent,
		boolean repeatable, Payload payload) {

	/** Maximum size of a payload or result. */
	public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

	private static final long MAX_RUN_MILLIS = 30L * 24 * 3600 * 1000;

	public JobSpec {
		Checks.range("runMillis", runMillis, 1, MAX_RUN_MILLIS);
		Checks.range("payloadBytes", payload.lengthBytes(), 0, MAX_PAYLOAD_BYTES);
		Checks.range("cpuMillicores", resources.cpuMillicores(), 1, Integer.MAX_VALUE);
		Checks.range("memoryMebibytes", resources.memoryMebibytes(), 1, Integer.MAX_VALUE);
	}

}
