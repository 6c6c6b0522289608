package io.burdockpin.core.batch.lead.run;

import io.burdockpin.core.batch.model.RunnerRecord;

/**
 * Order to be sent to a runner.
 *
 * @param runner receiver of the order
 * @param sessionOpenedMillis monotonic time at which the session with the runner was
 * opened
 * @param order order to send
 * @param answerTimeoutMillis time to wait for the answer, in addition to the wait time in
 * the order
 */
public record RunnerDispatch(RunnerRecord runner, long sessionOpenedMillis, RunnerOrder order,
		int answerTimeoutMillis) {

}
