package io.burdockpin.core.membership;

import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.Holder;

/**
 * A message between entry hosts.
 *
 * @param sender the sending life of an entry host
 * @param timestamp hybrid time of the sender
 * @param message the content
 */
public record PeerEnvelope(Holder sender, HybridTimestamp timestamp, PeerMessage message) {

}
