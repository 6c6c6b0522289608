package io.burdockpin.core.consensus;

import io.burdockpin.core.event.HybridTimestamp;

/**
 * A message between control members.
 *
 * @param cluster the cluster of the sender
 * @param sender the sending member
 * @param receiver the member it is meant for
 * @param membershipIndex index of the newest membership that the sender knows
 * @param timestamp hybrid time of the sender
 * @param message the content
 */
public record ConsensusEnvelope(String cluster, MemberId sender, MemberId receiver, long membershipIndex,
		HybridTimestamp timestamp, ConsensusMessage message) {

}
