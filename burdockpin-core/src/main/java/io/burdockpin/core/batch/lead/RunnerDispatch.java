package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.model.RunnerRecord;

/**
 * An order for a runner.
 *
 * @param runner the runner
 * @param order the order
 * @param answerTimeoutMillis how long to wait for the answer beyond what the order allows
 */
public record RunnerDispatch(RunnerRecord runner, RunnerOrder order, int answerTimeoutMillis) {

}
