package io.burdockpin.core.client;

import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.Holder;

/**
 * A message between an entry host and a control member.
 *
 * @param sender the sending process
 * @param timestamp hybrid time of the sender
 * @param message the content
 */
public record ClientEnvelope(Holder sender, HybridTimestamp timestamp, ClientMessage message) {

}
