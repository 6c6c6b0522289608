package io.burdockpin.codec.json;

import java.util.List;
import java.util.Optional;

/**
 * Answer to a {@link WorkerAnnouncement}. Orders answer an earlier announcement when the
 * leader has not answered the newest one yet.
 *
 * @param entryHost the entry host that answers
 * @param sequence number of the announcement that the leases count from, 0 if none
 * @param leaseMillis how long renewed leases last from when that announcement was sent
 * @param renewedJobs jobs whose lease is renewed
 * @param orders what to do with jobs
 * @param attachTo HTTP address of another entry host to announce to, {@code ip:port}
 */
public record WorkerAnnouncementReply(String entryHost, long sequence, long leaseMillis, List<String> renewedJobs,
		List<JobOrderDocument> orders, Optional<String> attachTo) {

	/**
	 * An order about one job.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch it is valid for
	 * @param kind a constant of {@link io.burdockpin.core.client.JobOrderKind}
	 * @param resources the declared size
	 * @param runMillis the declared run time
	 * @param repeatable whether the job may be started again; only then it stops at the
	 * end of its lease
	 * @param contentBase64 payload in Base64
	 * @param checkpointBase64 checkpoint to continue from in Base64
	 * @param throttlePercent processor share that is left to the job
	 */
	public record JobOrderDocument(String job, long leaseEpoch, String kind, WorkerAnnouncement.UsageDocument resources,
			long runMillis, boolean repeatable, String contentBase64, String checkpointBase64, int throttlePercent) {

	}

}
