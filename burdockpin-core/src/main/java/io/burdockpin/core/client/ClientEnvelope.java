package io.burdockpin.core.client;

import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.Holder;

/**
 * A message between an entry host and a member of the control group, with its sender.
 *
 * @param sender host and incarnation of the sending process
 * @param timestamp hybrid timestamp of the sender
 * @param message the payload
 */
public record ClientEnvelope(Holder sender, HybridTimestamp timestamp, ClientMessage message) {

}
