package io.burdockpin.core.state;

import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.model.RequestId;

/**
 * A command together with what the state machine needs to apply it. This is the content
 * of one log entry.
 *
 * @param timeMillis time of the proposing leader in milliseconds since the epoch
 * @param requestId identifier under which a resend gets the first result again
 * @param expectedVersion the version of the object that the proposer has seen
 * @param command the change
 */
public record Proposal(long timeMillis, Optional<RequestId> requestId, OptionalLong expectedVersion, Command command) {

}
