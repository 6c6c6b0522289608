package io.burdockpin.core.maintenance;

import java.util.List;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * Announces, before a drain starts, which jobs it is expected to stop. Immutable.
 *
 * @param campaign the campaign that drains the host
 * @param host the host to drain
 * @param drainDeadlineMillis when jobs that are still running are interrupted, in
 * milliseconds since the epoch
 * @param movedJobs repeatable jobs that are expected to be stopped and placed on other
 * hosts
 * @param interruptedJobs jobs that are not repeatable and are expected to be interrupted
 */
public record DrainNotice(CampaignName campaign, HostName host, long drainDeadlineMillis, List<JobId> movedJobs,
		List<JobId> interruptedJobs) {

	public DrainNotice {
		movedJobs = List.copyOf(movedJobs);
		interruptedJobs = List.copyOf(interruptedJobs);
	}

}
