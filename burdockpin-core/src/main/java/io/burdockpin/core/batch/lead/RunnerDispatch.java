package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.model.RunnerRecord;

/**
 * An order for a runner.
 *
 * @param runner the runner
 * @param order the order
 */
public record RunnerDispatch(RunnerRecord runner, RunnerOrder order) {

}
