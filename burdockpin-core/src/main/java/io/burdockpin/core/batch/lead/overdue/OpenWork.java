package io.burdockpin.core.batch.lead.overdue;

import java.util.Map;

import io.burdockpin.core.batch.lead.plan.FreeCapacity;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchState;

/**
 * What the leader sees of its open work, for {@link OverdueKind}. Read only.
 *
 * @param state replicated state
 * @param sessions sessions with the registered runners
 * @param capacity capacity that the latest plan has left free
 * @param nowMillis current monotonic time, in milliseconds
 */
public record OpenWork(BatchState state, Map<RunnerKey, RunnerSession> sessions, FreeCapacity capacity,
		long nowMillis) {

}
