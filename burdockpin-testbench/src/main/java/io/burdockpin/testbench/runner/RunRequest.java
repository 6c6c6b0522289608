package io.burdockpin.testbench.runner;

import java.util.OptionalLong;

import org.apache.pekko.util.ByteString;

/**
 * A request as the runner received it.
 *
 * @param attempt value of {@code Burdock-Attempt}
 * @param requestId value of {@code Burdock-Request-Id}
 * @param deadlineMillis remaining time from the arrival
 * @param ownDeadlineMillis value of {@code Burdock-Runner-Deadline-Ms}: the deadline by
 * the announced clock
 * @param body the caller's body
 */
public record RunRequest(String attempt, String requestId, long deadlineMillis, OptionalLong ownDeadlineMillis,
		ByteString body) {

}
