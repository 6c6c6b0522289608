package io.burdockpin.codec.json;

import java.util.List;
import java.util.Optional;

/**
 * Response to a {@link WorkerAnnouncement}. The orders refer to an earlier announcement
 * if the leader has not processed the newest one yet.
 *
 * @param entryHost name of the responding entry host
 * @param sequence sequence number of the announcement from which the leases are counted,
 * 0 if none
 * @param leaseMillis duration of renewed leases, counted from the time that announcement
 * was sent
 * @param renewedJobs identifiers of the jobs whose leases are renewed
 * @param orders orders about single jobs
 * @param attachTo HTTP address of an entry host to announce to instead, {@code ip:port}
 */
public record WorkerAnnouncementReply(String entryHost, long sequence, long leaseMillis, List<String> renewedJobs,
		List<JobOrderDocument> orders, Optional<String> attachTo) {

	/**
	 * An order about one job.
	 *
	 * @param job identifier of the job
	 * @param leaseEpoch the lease epoch for which the order is valid
	 * @param kind a constant of {@link io.burdockpin.core.client.JobOrderKind}
	 * @param resources the declared resources
	 * @param runMillis the declared run time
	 * @param repeatable whether the job may be started again; only repeatable jobs are
	 * stopped when their lease expires
	 * @param contentBase64 payload in Base64
	 * @param checkpointBase64 checkpoint to resume from in Base64
	 * @param throttlePercent processor share that the job may use
	 */
	public record JobOrderDocument(String job, long leaseEpoch, String kind, WorkerAnnouncement.UsageDocument resources,
			long runMillis, boolean repeatable, String contentBase64, String checkpointBase64, int throttlePercent) {

	}

}
