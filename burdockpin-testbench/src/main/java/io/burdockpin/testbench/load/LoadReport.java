package io.burdockpin.testbench.load;

import java.util.Map;

/**
 * Result of a load run.
 *
 * @param sent requests sent
 * @param answered answers with status 200 that belong to their request
 * @param wrongAnswers answers with status 200 that differ from their request
 * @param lost requests without an answer
 * @param refusals other answers by status and error code
 * @param elapsedMillis length of the run
 * @param p50Millis median latency of the answered requests
 * @param p99Millis 99th percentile of the latency
 * @param maximumMillis longest latency
 */
public record LoadReport(long sent, long answered, long wrongAnswers, long lost, Map<String, Long> refusals,
		long elapsedMillis, double p50Millis, double p99Millis, double maximumMillis) {

}
