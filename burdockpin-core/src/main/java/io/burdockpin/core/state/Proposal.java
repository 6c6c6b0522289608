package io.burdockpin.core.state;

import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.model.RequestId;

/**
 * A command with the metadata that the state machine needs to apply it. The content of
 * one log entry.
 *
 * @param timeMillis time of the proposing leader in milliseconds since the epoch
 * @param requestId request identifier for deduplication: a resend with the same
 * identifier gets the first result
 * @param expectedVersion version of the object that the proposer read last, or empty to
 * skip the check
 * @param command the command to apply
 */
public record Proposal(long timeMillis, Optional<RequestId> requestId, OptionalLong expectedVersion, Command command) {

}
