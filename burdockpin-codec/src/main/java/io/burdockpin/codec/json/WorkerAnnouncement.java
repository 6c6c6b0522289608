package io.burdockpin.codec.json;

import java.util.List;

/**
 * Body of {@code POST /v1/workers/announce}, sent by a worker every second to one entry
 * host.
 *
 * @param worker host name of the worker
 * @param bootId boot identifier, which changes when the host reboots
 * @param sequence sequence number of the announcement; the response repeats it, and the
 * leases are counted from the time that announcement was sent
 * @param usage resource usage of its jobs, measured with a delay
 * @param jobs the jobs it runs, and ended jobs until it is ordered to forget them
 */
public record WorkerAnnouncement(String worker, String bootId, long sequence, UsageDocument usage,
		List<JobReportDocument> jobs) {

	/**
	 * An amount of resources.
	 *
	 * @param cpuMillicores thousandths of a processor core
	 * @param memoryMebibytes memory in MiB
	 * @param accelerators whole accelerators
	 */
	public record UsageDocument(int cpuMillicores, int memoryMebibytes, int accelerators) {

	}

	/**
	 * A report about one job.
	 *
	 * @param job identifier of the job
	 * @param leaseEpoch the lease epoch under which it runs
	 * @param phase a constant of {@link io.burdockpin.core.client.JobPhase}
	 * @param usage resource usage of the job
	 * @param contentBase64 result or checkpoint in Base64
	 */
	public record JobReportDocument(String job, long leaseEpoch, String phase, UsageDocument usage,
			String contentBase64) {

	}

}
