package io.burdockpin.core.membership;

import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.Holder;

/**
 * A message between entry hosts with its sender.
 *
 * @param sender host and incarnation of the sending entry host
 * @param timestamp hybrid timestamp of the sender
 * @param message the payload
 */
public record PeerEnvelope(Holder sender, HybridTimestamp timestamp, PeerMessage message) {

}
