package io.burdockpin.codec.json;

import java.util.List;

/**
 * Body of {@code POST /v1/workers/announce}, sent by a worker every second to one entry
 * host.
 *
 * @param worker host name of the worker
 * @param bootId changes when the host reboots
 * @param sequence grows with each announcement; leases count from when the announcement
 * with the repeated number was sent
 * @param usage what its jobs use, with a lag
 * @param jobs the jobs it runs or has ended and was not yet told to forget
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
	 * @param job the job
	 * @param leaseEpoch the epoch under which it runs
	 * @param phase a constant of {@link io.burdockpin.core.client.JobPhase}
	 * @param usage what it uses
	 * @param contentBase64 result or checkpoint in Base64
	 */
	public record JobReportDocument(String job, long leaseEpoch, String phase, UsageDocument usage,
			String contentBase64) {

	}

}
