package io.burdockpin.entry.operator;

import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * A request of an operator.
 *
 * @param request the request
 * @param replyTo gets the reply exactly once
 */
public record OperatorCommand(OperatorRequest request, ActorRef<OperatorReply> replyTo) {

}
