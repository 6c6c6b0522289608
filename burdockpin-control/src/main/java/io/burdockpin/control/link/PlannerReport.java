package io.burdockpin.control.link;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.Holder;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * A {@link ClientMessage.TokenReport} or {@link ClientMessage.WorkerReports} of an entry
 * host, for the planners.
 *
 * @param sender the life of the entry host
 * @param message the report
 * @param replyTo takes the reply; no reply if this member does not lead
 */
public record PlannerReport(Holder sender, ClientMessage message, ActorRef<ClientMessage> replyTo) {

}
