package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * What a team submits. Sizes and run times are the team's own estimates.
 *
 * @param team the submitting team
 * @param pool the pool whose hosts may run the job
 * @param resources the declared size
 * @param runMillis the declared run time
 * @param urgent whether the job goes before others
 * @param repeatable whether the job may be started again after a loss
 * @param payload the input that is handed to the worker
 */
public record JobSpec(TeamName team, PoolName pool, Resources resources, long runMillis, boolean urgent,
		boolean repeatable, Payload payload) {

	/** Largest payload and result in bytes. */
	public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

	private static final long MAX_RUN_MILLIS = 30L * 24 * 3600 * 1000;

	public JobSpec {
		Checks.range("runMillis", runMillis, 1, MAX_RUN_MILLIS);
		Checks.range("payloadBytes", payload.lengthBytes(), 0, MAX_PAYLOAD_BYTES);
		Checks.range("cpuMillicores", resources.cpuMillicores(), 1, Integer.MAX_VALUE);
		Checks.range("memoryMebibytes", resources.memoryMebibytes(), 1, Integer.MAX_VALUE);
	}

}
