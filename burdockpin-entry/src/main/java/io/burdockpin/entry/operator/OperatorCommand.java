package io.burdockpin.entry.operator;

import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Message that carries one operator request.
 *
 * @param request the decoded request
 * @param replyTo receives exactly one reply
 */
public record OperatorCommand(OperatorRequest request, ActorRef<OperatorReply> replyTo) {

}
