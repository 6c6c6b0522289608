package io.burdockpin.core.maintenance;

import java.util.List;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * Says before a drain which jobs it will interrupt. Immutable.
 *
 * @param campaign the campaign
 * @param host the host
 * @param drainDeadlineMillis when the jobs that still run are interrupted, in
 * milliseconds since the epoch
 * @param movedJobs repeatable jobs that are expected to be stopped and placed elsewhere
 * @param interruptedJobs jobs that are not repeatable and are expected to be interrupted
 */
public record DrainNotice(CampaignName campaign, HostName host, long drainDeadlineMillis, List<JobId> movedJobs,
		List<JobId> interruptedJobs) {

	public DrainNotice {
		movedJobs = List.copyOf(movedJobs);
		interruptedJobs = List.copyOf(interruptedJobs);
	}

}
