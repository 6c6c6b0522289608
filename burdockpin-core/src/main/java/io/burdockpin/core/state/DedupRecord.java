package io.burdockpin.core.state;

import io.burdockpin.core.model.RequestId;

/**
 * The first result of an operator command, kept so that a resend gets the same answer.
 *
 * @param requestId the identifier of the request
 * @param timeMillis time of the state machine when it was applied, in milliseconds since
 * the epoch
 * @param command the command, to detect an identifier that is used for two commands
 * @param result the first result
 */
public record DedupRecord(RequestId requestId, long timeMillis, Command command, CommandResult result) {

}
