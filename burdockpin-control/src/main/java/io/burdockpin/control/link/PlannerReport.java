package io.burdockpin.control.link;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.Holder;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * A {@link ClientMessage.TokenReport} or {@link ClientMessage.WorkerReports} from an
 * entry host to the planners.
 *
 * @param sender the incarnation of the entry host
 * @param message the report
 * @param replyTo receives the reply; none is sent if this member is not the leader
 */
public record PlannerReport(Holder sender, ClientMessage message, ActorRef<ClientMessage> replyTo) {

}
