package io.burdockpin.core.batch.lead.run;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchCommand;

/**
 * Release of a run as decided by a leader.
 *
 * @param release release to commit
 * @param runner incarnation to which the run is assigned
 * @param sessionOpenedMillis monotonic time at which the session with that incarnation
 * was opened
 * @param reason why the run is certainly not in progress
 */
public record RunRelease(BatchCommand.Release release, RunnerKey runner, long sessionOpenedMillis,
		ReleaseReason reason) {

}
