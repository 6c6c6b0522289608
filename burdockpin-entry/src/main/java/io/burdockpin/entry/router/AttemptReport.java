package io.burdockpin.entry.router;

import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.routing.AttemptVerdict;

/**
 * How an attempt on a runner ended.
 *
 * @param result the result for the request
 * @param verdict what it says about the runner
 */
record AttemptReport(AttemptResult result, AttemptVerdict verdict) {

}
