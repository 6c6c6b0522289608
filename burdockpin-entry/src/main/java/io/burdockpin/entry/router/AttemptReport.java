package io.burdockpin.entry.router;

import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.routing.AttemptVerdict;

/**
 * The result of an attempt on a runner.
 *
 * @param result the result for the request
 * @param verdict the effect on the health record of the runner
 */
record AttemptReport(AttemptResult result, AttemptVerdict verdict) {

}
