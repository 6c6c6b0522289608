package io.burdockpin.core.state;

import io.burdockpin.core.model.RequestId;

/**
 * The result of an operator command, stored so that a resend gets the same result.
 *
 * @param requestId the request identifier that the operator chose
 * @param timeMillis time of the state machine when it was applied, in milliseconds since
 * the epoch
 * @param command the command, to reject the reuse of its request identifier for a
 * different command
 * @param result the result of the first application
 */
public record DedupRecord(RequestId requestId, long timeMillis, Command command, CommandResult result) {

}
