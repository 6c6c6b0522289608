package io.burdockpin.testbench.runner;

import org.apache.pekko.util.ByteString;

/**
 * A request as the runner received it.
 *
 * @param attempt value of {@code Burdock-Attempt}
 * @param requestId value of {@code Burdock-Request-Id}
 * @param deadlineMillis remaining time from the arrival
 * @param body the caller's body
 */
public record RunRequest(String attempt, String requestId, long deadlineMillis, ByteString body) {

}
