package io.burdockpin.core.consensus;

import io.burdockpin.core.event.HybridTimestamp;

/**
 * A consensus message with its sender and its receiver.
 *
 * @param cluster name of the cluster that the sender belongs to
 * @param sender the sending member
 * @param receiver the addressed member; a receiver with another incarnation drops the
 * message
 * @param membershipIndex index of the newest membership in the log of the sender
 * @param timestamp hybrid timestamp of the sender
 * @param message the payload
 */
public record ConsensusEnvelope(String cluster, MemberId sender, MemberId receiver, long membershipIndex,
		HybridTimestamp timestamp, ConsensusMessage message) {

}
